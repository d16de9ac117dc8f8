package coriandersill.membership;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses from which other entry an entry reads a feed, such as the listings of upstreams, so that the number of
 * entries that read the store itself does not grow with the number of entries.
 *
 * <pre>{@code
 * Optional<InstanceId> source = sources.preferred("listings"); // empty: read the store
 * ...
 * sources.recordFailure(source.get()); // next time: another entry, or the store
 * }</pre>
 *
 * <p>All entries of a region derive the same order of the zones, and of the entries of each zone, by rendezvous
 * hashing. An entry reads from the first entry of its own zone; the first one of a zone reads from the first of the
 * first zone, and that one reads the store. Entries that failed are passed over for a time that doubles with each
 * consecutive failure. Since an entry prefers only entries before itself, no two read from each other, also while they
 * know different entries. Not thread-safe.
 */
public final class FeedSources {
    private static final Duration MIN_AVOIDANCE = Duration.ofSeconds(2);

    /** The maximum number of doublings of {@link #MIN_AVOIDANCE}. */
    private static final int MAX_DOUBLINGS = 5;

    /** The number of consecutive failures after which an entry is taken for gone: about two minutes. */
    private static final int FAILURES_OF_GONE_ENTRY = 7;

    private final InstanceId self;
    private final AvailabilityZone ownZone;
    private final MonotonicClock clock;
    private final Map<InstanceId, AvailabilityZone> zones = new HashMap<>();
    private final Map<InstanceId, Failures> failures = new HashMap<>();

    /** Consecutive failures of an entry, and until when it is avoided. */
    private record Failures(int count, long avoidedUntilNanos) {}

    private FeedSources(InstanceId self, AvailabilityZone ownZone, MonotonicClock clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.ownZone = Objects.requireNonNull(ownZone, "ownZone");
        this.clock = Objects.requireNonNull(clock, "clock");
        zones.put(self, ownZone);
    }

    /** Returns the choice of the entry {@code self}, which knows no other entry yet. */
    public static FeedSources create(InstanceId self, AvailabilityZone ownZone, MonotonicClock clock) {
        return new FeedSources(self, ownZone, clock);
    }

    /** Adds another entry of the region, or one that has started again: its failures are forgotten. */
    public void addPeer(InstanceId peer, AvailabilityZone zone) {
        if (!peer.equals(self)) {
            zones.put(peer, zone);
            failures.remove(peer);
        }
    }

    /** Removes an entry that has stopped. */
    public void removePeer(InstanceId peer) {
        if (!peer.equals(self)) {
            zones.remove(peer);
            failures.remove(peer);
        }
    }

    /** Returns the entry to read a feed from; empty if this entry is to read the store. */
    public Optional<InstanceId> preferred(String feed) {
        Optional<InstanceId> sameZone =
                before(self, entriesOf(feed, ownZone)).filter(this::isUsable).findFirst();
        return sameZone.or(() -> before(ownZone, zonesInOrder(feed))
                .flatMap(zone -> entriesOf(feed, zone).stream())
                .filter(this::isUsable)
                .findFirst());
    }

    /** Returns an entry to read a feed from while this entry cannot read the store; empty if there is none. */
    public Optional<InstanceId> substitute(String feed) {
        Predicate<InstanceId> isOther = entry -> !entry.equals(self);
        return Stream.concat(Stream.of(ownZone), zonesInOrder(feed).stream())
                .flatMap(zone -> entriesOf(feed, zone).stream())
                .filter(isOther.and(this::isUsable))
                .findFirst();
    }

    /**
     * Records that an entry did not answer, does not know the feed, or knows only an old state of it.
     *
     * @return whether it has failed each time for minutes, so that it is to be taken for gone
     */
    public boolean recordFailure(InstanceId peer) {
        int count = failures.containsKey(peer) ? failures.get(peer).count() : 0;
        if (zones.containsKey(peer)) {
            Duration avoidance = MIN_AVOIDANCE.multipliedBy(1L << Math.min(count, MAX_DOUBLINGS));
            failures.put(peer, new Failures(count + 1, clock.nanos() + avoidance.toNanos()));
        }
        return count + 1 >= FAILURES_OF_GONE_ENTRY;
    }

    /** Records that an entry answered with a recent state. */
    public void recordSuccess(InstanceId peer) {
        failures.remove(peer);
    }

    private boolean isUsable(InstanceId peer) {
        Failures failed = failures.get(peer);
        return failed == null || clock.nanos() - failed.avoidedUntilNanos() >= 0;
    }

    private List<AvailabilityZone> zonesInOrder(String feed) {
        Comparator<AvailabilityZone> order = Comparator.comparingLong(zone -> score(feed, zone.value()));
        return zones.values().stream()
                .distinct()
                .sorted(order.thenComparing(AvailabilityZone::value))
                .toList();
    }

    private List<InstanceId> entriesOf(String feed, AvailabilityZone zone) {
        Comparator<InstanceId> order = Comparator.comparingLong(entry -> score(feed, entry.value()));
        return zones.entrySet().stream()
                .filter(entry -> entry.getValue().equals(zone))
                .map(Map.Entry::getKey)
                .sorted(order.thenComparing(InstanceId::value))
                .toList();
    }

    private static <T> Stream<T> before(T element, List<T> ordered) {
        return ordered.subList(0, ordered.indexOf(element)).stream();
    }

    private static long score(String feed, String name) {
        return RendezvousHash.score(RendezvousHash.of(feed), RendezvousHash.of(name));
    }
}

package coriandersill.upstreams;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The upstreams that are listed, those that leave, and the availability zones that take no new work.
 *
 * <pre>{@code
 * table.listed(upstream, Duration.ZERO);
 * List<Upstream> usable = table.inService(service);
 * }</pre>
 *
 * <p>An upstream that says it leaves, or whose listing ends, takes no new work from then on. A listing that ends while
 * the source of listings is in doubt may come back: the upstream stays in service for a stated time first. Safe for use
 * by many threads: guarded by a lock of rank {@link LockRank#MEMBERSHIP}.
 */
public final class UpstreamTable {
    /** How long an upstream that could not be reached is avoided the first time. */
    private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(300);

    private static final int MOST_DOUBLINGS = 4;

    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final MonotonicClock clock;
    private final long leavingNanos;
    private final Map<InstanceId, Entry> entries = new HashMap<>();
    private final Set<AvailabilityZone> zonesOut = new HashSet<>();
    private final List<UpstreamListener> listeners = new ArrayList<>();

    private long confirmedAt;

    private UpstreamTable(MonotonicClock clock, Duration leavingTime) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.leavingNanos = leavingTime.toNanos();
    }

    /** Returns an empty table; {@code leavingTime} is how long an upstream works on after it said that it leaves. */
    public static UpstreamTable create(MonotonicClock clock, Duration leavingTime) {
        return new UpstreamTable(clock, leavingTime);
    }

    /** Adds a listener; to be called before the first listing. */
    public void addListener(UpstreamListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /** Notes a listing; {@code coldFor} is how much longer the upstream is cold, zero if it is not. */
    public void addOrUpdate(Upstream upstream, Duration coldFor) {
        Change change = lock.with(() -> note(upstream, coldFor));
        tell(change, upstream);
    }

    private Change note(Upstream upstream, Duration coldFor) {
        long now = clock.nanos();
        Entry entry = entries.get(upstream.instance());
        boolean fresh = entry == null || entry.upstream.startedAtMillis() != upstream.startedAtMillis();
        if (fresh) {
            entry = new Entry();
            entries.put(upstream.instance(), entry);
        }
        boolean wasLeaving = entry.leavingSince != null;
        entry.upstream = upstream;
        entry.removalDue = null;
        entry.coldUntil = coldFor.isZero() ? null : (Long) (now + coldFor.toNanos());
        if (!upstream.leaving()) {
            entry.leavingSince = null;
            return fresh || wasLeaving ? Change.JOINED : Change.NONE;
        }
        if (wasLeaving) {
            return Change.NONE;
        }
        entry.leavingSince = now;
        return Change.LEAVING;
    }

    /**
     * Notes that an upstream is no longer listed.
     *
     * @param doubt how long the upstream stays in service, since its listing may come back; zero if there is no doubt
     */
    public void markUnlisted(InstanceId instance, Duration doubt) {
        Upstream left = lock.with(() -> {
            Entry entry = entries.get(instance);
            if (entry == null || entry.leavingSince != null) {
                return null;
            }
            if (!doubt.isZero()) {
                entry.removalDue =
                        entry.removalDue == null ? (Long) (clock.nanos() + doubt.toNanos()) : entry.removalDue;
                return null;
            }
            entry.leavingSince = clock.nanos();
            return entry.upstream;
        });
        if (left != null) {
            tell(Change.LEAVING, left);
        }
    }

    /** Notes an upstream's own word, given elsewhere than in a listing, that it leaves. */
    public void markLeaving(InstanceId instance) {
        markUnlisted(instance, Duration.ZERO);
    }

    /** Notes that {@code instance} could not be reached: it is avoided for a while, longer with each time in a row. */
    public void markUnreachable(InstanceId instance) {
        lock.run(() -> {
            Entry entry = entries.get(instance);
            if (entry != null) {
                long doubled = FIRST_AVOIDANCE.toNanos() << Math.min(entry.failuresInRow, MOST_DOUBLINGS);
                entry.avoidedUntil = clock.nanos() + doubled;
                entry.failuresInRow++;
            }
        });
    }

    /** Notes that {@code instance} answered. */
    public void markReachable(InstanceId instance) {
        lock.run(() -> {
            Entry entry = entries.get(instance);
            if (entry != null) {
                entry.failuresInRow = 0;
                entry.avoidedUntil = null;
            }
        });
    }

    /** Notes that the listings were complete {@code age} ago. */
    public void confirm(Duration age) {
        lock.run(() -> confirmedAt = clock.nanos() - age.toNanos());
    }

    /** Returns for how long it has not been confirmed that the listings are complete. */
    public Duration age() {
        return lock.with(() -> Duration.ofNanos(clock.nanos() - confirmedAt));
    }

    /** Returns the identifiers of all upstreams that are listed or leaving. */
    public Set<InstanceId> known() {
        return lock.with(() -> Set.copyOf(entries.keySet()));
    }

    /** Ends the service of upstreams whose time has passed; to be called several times a second. */
    public void sweep() {
        List<Upstream> left = new ArrayList<>();
        List<Upstream> gone = new ArrayList<>();
        lock.run(() -> {
            long now = clock.nanos();
            for (Entry entry : entries.values()) {
                if (entry.removalDue != null && now - entry.removalDue >= 0 && entry.leavingSince == null) {
                    entry.leavingSince = now;
                    left.add(entry.upstream);
                }
            }
            entries.values().removeIf(entry -> {
                boolean over = entry.leavingSince != null && now - entry.leavingSince > leavingNanos;
                if (over && !entry.upstream.leaving()) {
                    gone.add(entry.upstream);
                    return true;
                }
                return false;
            });
        });
        left.forEach(upstream -> tell(Change.LEAVING, upstream));
        gone.forEach(upstream -> listeners.forEach(listener -> listener.removed(upstream)));
    }

    /** Replaces the availability zones that take no new work; returns whether they changed. */
    public boolean setZonesOutOfService(Set<AvailabilityZone> zones) {
        return lock.with(() -> {
            if (zonesOut.equals(zones)) {
                return false;
            }
            zonesOut.clear();
            zonesOut.addAll(zones);
            return true;
        });
    }

    /**
     * Returns the upstreams of a service that take new work; those that could not be reached only if there are no
     * others.
     */
    public List<Upstream> inService(ServiceName service) {
        List<Upstream> reachable =
                select(entry -> entry.upstream.service().equals(service) && takesWork(entry) && !avoided(entry));
        if (!reachable.isEmpty()) {
            return reachable;
        }
        return select(entry -> entry.upstream.service().equals(service) && takesWork(entry));
    }

    /** Returns all upstreams that take new work or finish what they have. */
    public List<Upstream> all() {
        return select(entry -> true);
    }

    /** Returns an upstream if it takes new work at this moment. */
    public Optional<Upstream> inService(InstanceId instance) {
        return lock.with(() -> Optional.ofNullable(entries.get(instance))
                .filter(this::takesWork)
                .map(entry -> entry.upstream));
    }

    /** Whether an upstream has said that it leaves, or is not listed any more. */
    public boolean isLeaving(InstanceId instance) {
        return lock.with(() -> {
            Entry entry = entries.get(instance);
            return entry == null || entry.leavingSince != null;
        });
    }

    /** Whether an upstream is cold. */
    public boolean isCold(InstanceId instance) {
        return lock.with(() -> {
            Entry entry = entries.get(instance);
            return entry != null && entry.coldUntil != null && clock.nanos() - entry.coldUntil < 0;
        });
    }

    private List<Upstream> select(Predicate<Entry> filter) {
        return lock.with(() -> entries.values().stream()
                .filter(filter)
                .map(entry -> entry.upstream)
                .toList());
    }

    private boolean avoided(Entry entry) {
        return entry.avoidedUntil != null && clock.nanos() - entry.avoidedUntil < 0;
    }

    private boolean takesWork(Entry entry) {
        return entry.leavingSince == null && !zonesOut.contains(entry.upstream.zone());
    }

    private void tell(Change change, Upstream upstream) {
        if (change == Change.JOINED) {
            listeners.forEach(listener -> listener.joined(upstream));
        } else if (change == Change.LEAVING) {
            listeners.forEach(listener -> listener.leaving(upstream, Duration.ofNanos(leavingNanos)));
        }
    }

    private enum Change {
        NONE,
        JOINED,
        LEAVING
    }

    /** What is known of one upstream. */
    private static final class Entry {
        private Upstream upstream;
        private Long coldUntil;
        private Long leavingSince;
        private Long removalDue;
        private Long avoidedUntil;
        private int failuresInRow;
    }
}

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
 * The listed and leaving upstreams, and the availability zones that are out of service.
 *
 * <pre>{@code
 * table.addOrUpdate(upstream, Duration.ZERO);
 * List<Upstream> usable = table.inService(service);
 * }</pre>
 *
 * <p>An upstream that announces its departure, or whose listing ends, receives no new work from then on. A listing that
 * ends while the source of listings is unreliable may come back, so the upstream first stays in service for a given
 * time. Thread-safe: guarded by a lock of rank {@link LockRank#MEMBERSHIP}.
 */
public final class UpstreamTable {
    /**
     * How long an upstream is avoided after one failed connection; doubles with each consecutive failure, at most
     * {@link #MAX_DOUBLINGS} times.
     */
    private static final Duration INITIAL_AVOIDANCE_TIME = Duration.ofMillis(300);

    private static final int MAX_DOUBLINGS = 4;

    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final MonotonicClock clock;
    private final long leavingTimeNanos;
    private final Map<InstanceId, Entry> entries = new HashMap<>();
    private final Set<AvailabilityZone> zonesOutOfService = new HashSet<>();
    private final List<UpstreamListener> listeners = new ArrayList<>();

    private long confirmedAtNanos;

    private UpstreamTable(MonotonicClock clock, Duration leavingTime) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.leavingTimeNanos = leavingTime.toNanos();
    }

    /**
     * Returns an empty table.
     *
     * @param leavingTime how long an upstream keeps running after it started to leave
     */
    public static UpstreamTable create(MonotonicClock clock, Duration leavingTime) {
        return new UpstreamTable(clock, leavingTime);
    }

    /** Adds a listener; must be called before the first upstream is added. */
    public void addListener(UpstreamListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Adds or updates a listed upstream.
     *
     * @param coldFor how much longer the upstream is cold; zero if it is not
     */
    public void addOrUpdate(Upstream upstream, Duration coldFor) {
        Change change = lock.with(() -> update(upstream, coldFor));
        notifyListeners(change, upstream);
    }

    private Change update(Upstream upstream, Duration coldFor) {
        long now = clock.nanos();
        Entry entry = entries.get(upstream.instance());
        boolean isNew = entry == null || entry.upstream.startedAtMillis() != upstream.startedAtMillis();
        if (isNew) {
            entry = new Entry();
            entries.put(upstream.instance(), entry);
        }
        boolean wasLeaving = entry.leavingSinceNanos != null;
        entry.upstream = upstream;
        entry.graceEndNanos = null;
        entry.coldUntilNanos = coldFor.isZero() ? null : (Long) (now + coldFor.toNanos());
        if (!upstream.leaving()) {
            entry.leavingSinceNanos = null;
            return isNew || wasLeaving ? Change.JOINED : Change.NONE;
        }
        if (wasLeaving) {
            return Change.NONE;
        }
        entry.leavingSinceNanos = now;
        return Change.LEAVING;
    }

    /**
     * Records that an upstream is no longer listed.
     *
     * @param gracePeriod how long the upstream stays in service because its listing may come back; zero if it is known
     *     to have left
     */
    public void markUnlisted(InstanceId instance, Duration gracePeriod) {
        Upstream leaving = lock.with(() -> {
            Entry entry = entries.get(instance);
            if (entry == null || entry.leavingSinceNanos != null) {
                return null;
            }
            if (!gracePeriod.isZero()) {
                entry.graceEndNanos = entry.graceEndNanos == null
                        ? (Long) (clock.nanos() + gracePeriod.toNanos())
                        : entry.graceEndNanos;
                return null;
            }
            entry.leavingSinceNanos = clock.nanos();
            return entry.upstream;
        });
        if (leaving != null) {
            notifyListeners(Change.LEAVING, leaving);
        }
    }

    /** Records that an upstream announced its departure itself, outside a listing. */
    public void markLeaving(InstanceId instance) {
        markUnlisted(instance, Duration.ZERO);
    }

    /** Records a failed connection: {@code instance} is avoided for a time that grows with each consecutive failure. */
    public void markUnreachable(InstanceId instance) {
        lock.run(() -> {
            Entry entry = entries.get(instance);
            if (entry != null) {
                long avoidanceNanos =
                        INITIAL_AVOIDANCE_TIME.toNanos() << Math.min(entry.consecutiveFailures, MAX_DOUBLINGS);
                entry.avoidedUntilNanos = clock.nanos() + avoidanceNanos;
                entry.consecutiveFailures++;
            }
        });
    }

    /** Records that {@code instance} responded, which ends its avoidance. */
    public void markReachable(InstanceId instance) {
        lock.run(() -> {
            Entry entry = entries.get(instance);
            if (entry != null) {
                entry.consecutiveFailures = 0;
                entry.avoidedUntilNanos = null;
            }
        });
    }

    /** Records that the listings were known to be complete {@code age} ago. */
    public void confirm(Duration age) {
        lock.run(() -> confirmedAtNanos = clock.nanos() - age.toNanos());
    }

    /** Returns the time since the listings were last confirmed to be complete. */
    public Duration age() {
        return lock.with(() -> Duration.ofNanos(clock.nanos() - confirmedAtNanos));
    }

    /** Returns the identifiers of all listed or leaving upstreams. */
    public Set<InstanceId> known() {
        return lock.with(() -> Set.copyOf(entries.keySet()));
    }

    /**
     * Marks upstreams as leaving whose grace period is over and removes those that have left. Must be called several
     * times a second.
     */
    public void sweep() {
        List<Upstream> leaving = new ArrayList<>();
        List<Upstream> removed = new ArrayList<>();
        lock.run(() -> {
            long now = clock.nanos();
            for (Entry entry : entries.values()) {
                if (entry.graceEndNanos != null && now - entry.graceEndNanos >= 0 && entry.leavingSinceNanos == null) {
                    entry.leavingSinceNanos = now;
                    leaving.add(entry.upstream);
                }
            }
            entries.values().removeIf(entry -> {
                boolean leavingTimeOver =
                        entry.leavingSinceNanos != null && now - entry.leavingSinceNanos > leavingTimeNanos;
                if (leavingTimeOver && !entry.upstream.leaving()) {
                    removed.add(entry.upstream);
                    return true;
                }
                return false;
            });
        });
        leaving.forEach(upstream -> notifyListeners(Change.LEAVING, upstream));
        removed.forEach(upstream -> listeners.forEach(listener -> listener.removed(upstream)));
    }

    /** Sets the availability zones that receive no new work; returns whether they changed. */
    public boolean setZonesOutOfService(Set<AvailabilityZone> zones) {
        return lock.with(() -> {
            if (zonesOutOfService.equals(zones)) {
                return false;
            }
            zonesOutOfService.clear();
            zonesOutOfService.addAll(zones);
            return true;
        });
    }

    /**
     * Returns the upstreams of a service that accept new work. Upstreams with recent connection failures are included
     * only if there are no others.
     */
    public List<Upstream> inService(ServiceName service) {
        List<Upstream> reachable =
                select(entry -> entry.upstream.service().equals(service) && acceptsNewWork(entry) && !isAvoided(entry));
        if (!reachable.isEmpty()) {
            return reachable;
        }
        return select(entry -> entry.upstream.service().equals(service) && acceptsNewWork(entry));
    }

    /** Returns all upstreams, including those that only finish the work they have. */
    public List<Upstream> all() {
        return select(entry -> true);
    }

    /** Returns an upstream if it currently accepts new work. */
    public Optional<Upstream> inService(InstanceId instance) {
        return lock.with(() -> Optional.ofNullable(entries.get(instance))
                .filter(this::acceptsNewWork)
                .map(entry -> entry.upstream));
    }

    /** Returns whether an upstream is leaving or unknown. */
    public boolean isLeaving(InstanceId instance) {
        return lock.with(() -> {
            Entry entry = entries.get(instance);
            return entry == null || entry.leavingSinceNanos != null;
        });
    }

    /** Returns whether an upstream is cold, that is, still warming up after its start. */
    public boolean isCold(InstanceId instance) {
        return lock.with(() -> {
            Entry entry = entries.get(instance);
            return entry != null && entry.coldUntilNanos != null && clock.nanos() - entry.coldUntilNanos < 0;
        });
    }

    private List<Upstream> select(Predicate<Entry> filter) {
        return lock.with(() -> entries.values().stream()
                .filter(filter)
                .map(entry -> entry.upstream)
                .toList());
    }

    private boolean isAvoided(Entry entry) {
        return entry.avoidedUntilNanos != null && clock.nanos() - entry.avoidedUntilNanos < 0;
    }

    private boolean acceptsNewWork(Entry entry) {
        return entry.leavingSinceNanos == null && !zonesOutOfService.contains(entry.upstream.zone());
    }

    private void notifyListeners(Change change, Upstream upstream) {
        if (change == Change.JOINED) {
            listeners.forEach(listener -> listener.joined(upstream));
        } else if (change == Change.LEAVING) {
            listeners.forEach(listener -> listener.leaving(upstream, Duration.ofNanos(leavingTimeNanos)));
        }
    }

    private enum Change {
        NONE,
        JOINED,
        LEAVING
    }

    /** The state of one upstream; times are null if they do not apply. */
    private static final class Entry {
        private Upstream upstream;
        private Long coldUntilNanos;
        private Long leavingSinceNanos;
        private Long graceEndNanos;
        private Long avoidedUntilNanos;
        private int consecutiveFailures;
    }
}

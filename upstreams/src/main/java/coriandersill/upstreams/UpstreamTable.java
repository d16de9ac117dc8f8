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
    /** The count of a listing that states none. */
    public static final long UNKNOWN_SEQUENCE = -1;

    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final MonotonicClock clock;
    private final long leavingTimeNanos;
    private final Map<InstanceId, UpstreamState> states = new HashMap<>();
    private final UpstreamStatements statements = new UpstreamStatements();
    private final Set<AvailabilityZone> zonesOutOfService = new HashSet<>();
    private final List<UpstreamListener> listeners = new ArrayList<>();

    /** Whether the listings were known to be complete at least once. */
    private boolean confirmed;

    /** When the listings were last known to be complete; 0, which is meaningless, before the first confirmation. */
    private long confirmedAtNanos;

    private UpstreamTable(MonotonicClock clock, Duration leavingTime) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.leavingTimeNanos = leavingTime.toNanos();
    }

    /**
     * Returns an empty table.
     *
     * @param leavingTime how long an upstream is assumed to keep running after it started to leave
     */
    public static UpstreamTable create(MonotonicClock clock, Duration leavingTime) {
        return new UpstreamTable(clock, leavingTime);
    }

    /**
     * Adds a listener. Must be called before the first upstream is added, since the lock does not guard the listeners.
     */
    public void addListener(UpstreamListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Adds or updates a listed upstream by a listing without a count.
     *
     * @see #addOrUpdate(Upstream, Duration, long)
     */
    public boolean addOrUpdate(Upstream upstream, Duration coldFor) {
        return addOrUpdate(upstream, coldFor, UNKNOWN_SEQUENCE);
    }

    /**
     * Adds or updates a listed upstream. A listing that is older than what is known changes nothing, unless it
     * announces the departure of the incarnation that is known.
     *
     * @param coldFor how much longer the upstream is cold; zero if it is not
     * @param sequence the number of listings that the incarnation has written, or {@link #UNKNOWN_SEQUENCE}
     * @return whether anything changed; false if the listing only repeats what was known
     */
    public boolean addOrUpdate(Upstream upstream, Duration coldFor, long sequence) {
        Update update = lock.with(() -> update(upstream, coldFor, sequence));
        notifyListeners(update.change(), upstream);
        return update.anything();
    }

    private Update update(Upstream upstream, Duration coldFor, long sequence) {
        long now = clock.nanos();
        boolean leaving = isLeaving(upstream);
        UpstreamState state = states.get(upstream.instance());
        ListingOrder order = state == null ? new ListingOrder() : state.listingOrder();
        boolean outdated = order.isOutdated(upstream.startedAtMillis(), sequence);
        boolean announcesDeparture = upstream.leaving() && order.isLatest(upstream.startedAtMillis());
        if (outdated && !announcesDeparture) {
            return new Update(Change.NONE, false);
        }
        if (!outdated) {
            order.advance(upstream.startedAtMillis(), sequence);
        }
        boolean repeats = state != null && state.isRepeatedBy(upstream, leaving, coldFor, now);
        boolean isNew = state == null || !state.isIncarnation(upstream);
        if (isNew) {
            state = new UpstreamState(upstream, order);
            states.put(upstream.instance(), state);
        }
        boolean wasLeaving = state.isLeaving();
        state.list(upstream, leaving, coldFor, now);
        if (leaving) {
            return new Update(wasLeaving ? Change.NONE : Change.LEAVING, !repeats);
        }
        return new Update(isNew || wasLeaving ? Change.JOINED : Change.NONE, !repeats);
    }

    /**
     * Returns whether an incarnation leaves, by its listing or by what it said itself, which a listing cannot revoke.
     */
    private boolean isLeaving(Upstream upstream) {
        return upstream.leaving() || statements.saysLeaving(upstream.instance(), upstream.startedAtMillis());
    }

    /**
     * Records that an incarnation of an upstream said in a response that it leaves. It gets no new work from then on,
     * whatever its listing says; another incarnation does.
     *
     * @return whether that was not known of it yet
     */
    public boolean markSaidLeaving(Upstream incarnation) {
        boolean isNew = lock.with(() -> statements.addLeaving(incarnation.instance(), incarnation.startedAtMillis()));
        boolean leaves = lock.with(() -> {
            UpstreamState state = states.get(incarnation.instance());
            if (state == null || state.isLeaving() || !state.isIncarnation(incarnation)) {
                return false;
            }
            state.beginLeaving(clock.nanos());
            return true;
        });
        if (leaves) {
            notifyListeners(Change.LEAVING, incarnation);
        }
        return isNew;
    }

    /**
     * Records that an incarnation of an upstream wants no request for {@code time}; the latest of several ends holds.
     */
    public void markQuiet(Upstream incarnation, Duration time) {
        lock.run(() -> statements.addQuietTime(
                incarnation.instance(), incarnation.startedAtMillis(), clock.nanos() + time.toNanos()));
    }

    /** Returns whether an upstream wants no request now. */
    public boolean isQuiet(InstanceId instance) {
        return lock.with(() -> {
            UpstreamState state = states.get(instance);
            return state != null && isQuiet(state);
        });
    }

    /**
     * Returns the time until the first upstream of a service accepts requests again; empty if one accepts some now, or
     * if there is none that will.
     */
    public Optional<Duration> timeUntilQuietEnds(ServiceName service) {
        return lock.with(() -> {
            List<Duration> times = states.values().stream()
                    .filter(state -> state.isOf(service) && isInService(state))
                    .map(this::quietTime)
                    .toList();
            return times.contains(Duration.ZERO)
                    ? Optional.<Duration>empty()
                    : times.stream().min(Duration::compareTo);
        });
    }

    /**
     * Records that an upstream is no longer listed.
     *
     * @param gracePeriod how long the upstream stays in service because its listing may come back; zero if it is known
     *     to have left
     */
    public void markUnlisted(InstanceId instance, Duration gracePeriod) {
        Upstream leaving = lock.with(() -> {
            UpstreamState state = states.get(instance);
            return state != null && state.unlist(gracePeriod, clock.nanos()) ? state.upstream() : null;
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
            UpstreamState state = states.get(instance);
            if (state != null) {
                state.connectionFailed(clock.nanos());
            }
        });
    }

    /** Records that {@code instance} responded, which ends its avoidance. */
    public void markReachable(InstanceId instance) {
        lock.run(() -> {
            UpstreamState state = states.get(instance);
            if (state != null) {
                state.connectionSucceeded();
            }
        });
    }

    /** Records that the listings were known to be complete {@code age} ago. */
    public void confirm(Duration age) {
        lock.run(() -> {
            confirmed = true;
            confirmedAtNanos = clock.nanos() - age.toNanos();
        });
    }

    /** Returns whether the listings were confirmed to be complete at least once. */
    public boolean isConfirmed() {
        return lock.with(() -> confirmed);
    }

    /** Returns the time since the listings were last confirmed to be complete; meaningless before the first time. */
    public Duration listingsAge() {
        return lock.with(() -> Duration.ofNanos(clock.nanos() - confirmedAtNanos));
    }

    /** Returns the identifiers of all listed or leaving upstreams. */
    public Set<InstanceId> instanceIds() {
        return lock.with(() -> Set.copyOf(states.keySet()));
    }

    /**
     * Marks upstreams whose grace period is over as leaving, and removes those whose leaving time is over unless their
     * own listing announced the departure. Must be called several times a second, since listeners learn of both only
     * here; an upstream whose grace period is over gets no new work in any case.
     */
    public void sweep() {
        List<Upstream> leaving = new ArrayList<>();
        List<Upstream> removed = new ArrayList<>();
        lock.run(() -> {
            long now = clock.nanos();
            for (UpstreamState state : states.values()) {
                if (state.endGracePeriod(now)) {
                    leaving.add(state.upstream());
                }
            }
            states.values().removeIf(state -> {
                boolean announced = state.isListed() && isLeaving(state.upstream());
                boolean gone = state.isLeavingTimeOver(leavingTimeNanos, now)
                        && !announced
                        && !state.upstream().leaving();
                if (gone) {
                    removed.add(state.upstream());
                }
                return gone;
            });
        });
        Notifications notifications = new Notifications();
        leaving.forEach(upstream -> notifyLeaving(notifications, upstream));
        removed.forEach(upstream -> listeners.forEach(listener -> notifications.run(() -> listener.removed(upstream))));
        notifications.throwFirstError();
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
                select(state -> state.isOf(service) && acceptsNewWork(state) && !state.isAvoided(clock.nanos()));
        if (!reachable.isEmpty()) {
            return reachable;
        }
        return select(state -> state.isOf(service) && acceptsNewWork(state));
    }

    /** Returns all upstreams, including those that are leaving or in an availability zone out of service. */
    public List<Upstream> all() {
        return select(state -> true);
    }

    /** Returns an upstream if it currently accepts new work. */
    public Optional<Upstream> inService(InstanceId instance) {
        return lock.with(() -> Optional.ofNullable(states.get(instance))
                .filter(this::acceptsNewWork)
                .map(UpstreamState::upstream));
    }

    /** Returns whether an upstream is leaving or unknown. */
    public boolean isLeavingOrUnknown(InstanceId instance) {
        return lock.with(() -> {
            UpstreamState state = states.get(instance);
            return state == null || state.isLeaving();
        });
    }

    /** Returns whether an upstream is cold, that is, still warming up after its start. */
    public boolean isCold(InstanceId instance) {
        return lock.with(() -> {
            UpstreamState state = states.get(instance);
            return state != null && state.isCold(clock.nanos());
        });
    }

    private List<Upstream> select(Predicate<UpstreamState> filter) {
        return lock.with(() -> states.values().stream()
                .filter(filter)
                .map(UpstreamState::upstream)
                .toList());
    }

    private boolean acceptsNewWork(UpstreamState state) {
        return isInService(state) && !isQuiet(state);
    }

    private boolean isQuiet(UpstreamState state) {
        return !quietTime(state).isZero();
    }

    private Duration quietTime(UpstreamState state) {
        Upstream upstream = state.upstream();
        return statements.quietTime(upstream.instance(), upstream.startedAtMillis(), clock.nanos());
    }

    private boolean isInService(UpstreamState state) {
        return state.isInService(clock.nanos())
                && !zonesOutOfService.contains(state.upstream().zone());
    }

    private void notifyListeners(Change change, Upstream upstream) {
        Notifications notifications = new Notifications();
        if (change == Change.JOINED) {
            listeners.forEach(listener -> notifications.run(() -> listener.joined(upstream)));
        } else if (change == Change.LEAVING) {
            notifyLeaving(notifications, upstream);
        }
        notifications.throwFirstError();
    }

    private void notifyLeaving(Notifications notifications, Upstream upstream) {
        Duration timeLeft = Duration.ofNanos(leavingTimeNanos);
        listeners.forEach(listener -> notifications.run(() -> listener.leaving(upstream, timeLeft)));
    }

    /**
     * The effect of a listing.
     *
     * @param change what listeners are told
     * @param anything whether anything changed at all, such as how long the upstream is cold
     */
    private record Update(Change change, boolean anything) {}

    private enum Change {
        NONE,
        JOINED,
        LEAVING
    }
}

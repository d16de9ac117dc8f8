package coriandersill.routing;

import coriandersill.core.MonotonicClock;
import coriandersill.core.RouteName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * How long the latest calls of each route took. Thread-safe: guarded by a lock of rank {@link LockRank#ROUTING}.
 *
 * <p>Bounded: holds a few durations of each of the routes that had a call last.
 */
public final class RecentDurations {
    private static final Duration MAX_AGE = Duration.ofSeconds(10);
    private static final int MAX_DURATIONS_PER_ROUTE = 32;
    private static final int MAX_ROUTES = 1_024;

    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final MonotonicClock clock;
    private final Map<RouteName, Deque<Sample>> samplesByRoute = new HashMap<>();

    private RecentDurations(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    private record Sample(long endedAtNanos, Duration duration) {}

    /** Returns an empty table. */
    public static RecentDurations create(MonotonicClock clock) {
        return new RecentDurations(clock);
    }

    /** Records that a call of {@code route} has ended now, {@code duration} after its arrival. */
    public void record(RouteName route, Duration duration) {
        lock.run(() -> {
            if (samplesByRoute.size() >= MAX_ROUTES && !samplesByRoute.containsKey(route)) {
                samplesByRoute.values().removeIf(samples -> isOld(samples.getLast()));
            }
            if (samplesByRoute.size() >= MAX_ROUTES && !samplesByRoute.containsKey(route)) {
                return;
            }
            Deque<Sample> samples = samplesByRoute.computeIfAbsent(route, name -> new ArrayDeque<>());
            samples.addLast(new Sample(clock.nanos(), duration));
            if (samples.size() > MAX_DURATIONS_PER_ROUTE) {
                samples.removeFirst();
            }
        });
    }

    /** Returns the longest duration of the calls of {@code route} that ended lately; empty if none did. */
    public Optional<Duration> slowest(RouteName route) {
        return lock.with(() -> samplesByRoute.getOrDefault(route, new ArrayDeque<>()).stream()
                .filter(sample -> !isOld(sample))
                .map(Sample::duration)
                .max(Duration::compareTo));
    }

    private boolean isOld(Sample sample) {
        return clock.nanos() - sample.endedAtNanos() > MAX_AGE.toNanos();
    }
}

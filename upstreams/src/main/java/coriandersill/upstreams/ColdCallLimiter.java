package coriandersill.upstreams;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of calls to each cold upstream to this entry's share of the upstream's limit.
 *
 * <p>Every entry keeps to its own share in each window of one second, so that the sum over all entries stays within the
 * limit even if they cannot communicate. The exception is a share of less than one call per second, since each entry
 * may always make one. Thread-safe: guarded by a lock of rank {@link LockRank#ROUTING}.
 */
public final class ColdCallLimiter {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final MonotonicClock clock;
    private final Map<InstanceId, Deque<Long>> callTimesNanos = new HashMap<>();

    private ColdCallLimiter(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns a limiter that has counted no calls. */
    public static ColdCallLimiter create(MonotonicClock clock) {
        return new ColdCallLimiter(clock);
    }

    /**
     * Returns whether a call to {@code instance} is allowed, and counts it if so. It is allowed if the calls counted in
     * the last second and this one together are at most {@code maxPerSecond}, or if no call was counted.
     */
    public boolean tryAcquire(InstanceId instance, double maxPerSecond) {
        return lock.with(() -> {
            long now = clock.nanos();
            Deque<Long> recentCallsNanos = callTimesNanos.computeIfAbsent(instance, id -> new ArrayDeque<>());
            while (!recentCallsNanos.isEmpty() && now - recentCallsNanos.peekFirst() >= WINDOW_NANOS) {
                recentCallsNanos.removeFirst();
            }
            if (recentCallsNanos.size() + 1 > Math.max(1, maxPerSecond)) {
                return false;
            }
            recentCallsNanos.addLast(now);
            return true;
        });
    }

    /** Discards the state of a removed upstream. */
    public void removeInstance(InstanceId instance) {
        lock.run(() -> callTimesNanos.remove(instance));
    }
}

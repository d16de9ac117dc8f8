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
 * Holds the calls to each cold upstream within this entry's part of what the upstream bears.
 *
 * <p>Every entry takes its part of the limit for each second, so that the sum over all entries stays within it whether
 * or not they are in touch. Safe for use by many threads: guarded by a lock of rank {@link LockRank#ROUTING}.
 */
public final class ColdCallLimiter {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final MonotonicClock clock;
    private final Map<InstanceId, Deque<Long>> sent = new HashMap<>();

    private ColdCallLimiter(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns a share of which nothing is used. */
    public static ColdCallLimiter create(MonotonicClock clock) {
        return new ColdCallLimiter(clock);
    }

    /** Counts a call to {@code instance} if fewer than {@code ownPerSecond} went there in the last second. */
    public boolean tryAcquire(InstanceId instance, double ownPerSecond) {
        return lock.with(() -> {
            long now = clock.nanos();
            Deque<Long> times = sent.computeIfAbsent(instance, id -> new ArrayDeque<>());
            while (!times.isEmpty() && now - times.peekFirst() >= WINDOW_NANOS) {
                times.removeFirst();
            }
            if (times.size() + 1 > Math.max(1, ownPerSecond)) {
                return false;
            }
            times.addLast(now);
            return true;
        });
    }

    /** Forgets an upstream that is gone. */
    public void forget(InstanceId instance) {
        lock.run(() -> sent.remove(instance));
    }
}

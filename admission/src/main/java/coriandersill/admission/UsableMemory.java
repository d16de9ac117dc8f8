package coriandersill.admission;

import java.time.Duration;

/** The part of the engine's memory that admission counts on: less after each preemption, more again with time. */
final class UsableMemory {
    private static final double DECREASE = 0.96;
    private static final double LEAST_SHARE = 0.5;
    private static final double RECOVERY_PER_SECOND = 0.001;
    private static final long DECREASE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;

    private final long memoryTokens;
    private double share = 1;
    private long changedNanos;

    UsableMemory(long memoryTokens, long nowNanos) {
        this.memoryTokens = memoryTokens;
        this.changedNanos = nowNanos - DECREASE_INTERVAL_NANOS;
    }

    long tokens(long nowNanos) {
        return (long) (memoryTokens * shareAt(nowNanos));
    }

    /** Notes a preemption; those within a second of each other have one cause and count once. */
    void preempted(long nowNanos) {
        if (nowNanos - changedNanos >= DECREASE_INTERVAL_NANOS) {
            share = Math.max(LEAST_SHARE, shareAt(nowNanos) * DECREASE);
            changedNanos = nowNanos;
        }
    }

    private double shareAt(long nowNanos) {
        return Math.min(1, share + RECOVERY_PER_SECOND * (nowNanos - changedNanos) / NANOS_PER_SECOND);
    }
}

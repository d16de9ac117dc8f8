package coriandersill.admission;

import java.time.Duration;

/** The part of the engine's memory available to admission; shrinks with each preemption and recovers over time. */
final class UsableMemory {
    private static final double DECREASE_FACTOR = 0.96;
    private static final double MIN_FRACTION = 0.5;
    private static final double RECOVERY_FRACTION_PER_SECOND = 0.001;
    private static final long DECREASE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;

    private final long memoryTokens;
    private double fraction = 1;
    private long lastDecreaseNanos;

    UsableMemory(long memoryTokens, long nowNanos) {
        this.memoryTokens = memoryTokens;
        this.lastDecreaseNanos = nowNanos - DECREASE_INTERVAL_NANOS;
    }

    long tokens(long nowNanos) {
        return (long) (memoryTokens * fractionAt(nowNanos));
    }

    /** Records a preemption; preemptions within a second are assumed to have one cause and count once. */
    void recordPreemption(long nowNanos) {
        if (nowNanos - lastDecreaseNanos >= DECREASE_INTERVAL_NANOS) {
            fraction = Math.max(MIN_FRACTION, fractionAt(nowNanos) * DECREASE_FACTOR);
            lastDecreaseNanos = nowNanos;
        }
    }

    private double fractionAt(long nowNanos) {
        return Math.min(1, fraction + RECOVERY_FRACTION_PER_SECOND * (nowNanos - lastDecreaseNanos) / NANOS_PER_SECOND);
    }
}

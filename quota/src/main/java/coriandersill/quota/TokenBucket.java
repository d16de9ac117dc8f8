package coriandersill.quota;

/**
 * A token bucket whose user admits a call while the level is positive and charges the call in full. The level may thus
 * become negative, which delays later calls.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** The capacity of the bucket, as the time in which it fills at the current rate. */
    private static final double MAX_BURST_SECONDS = 1;

    private double level;
    private long refilledAtNanos;

    TokenBucket(long nowNanos) {
        this.refilledAtNanos = nowNanos;
    }

    /**
     * Adds {@code rate} tokens per second up to the time {@code untilNanos}; does nothing if that time has been passed.
     */
    void refill(double rate, long untilNanos) {
        if (untilNanos - refilledAtNanos > 0) {
            level = Math.min(
                    level + rate * (untilNanos - refilledAtNanos) / NANOS_PER_SECOND, rate * MAX_BURST_SECONDS);
            refilledAtNanos = untilNanos;
        }
    }

    double level() {
        return level;
    }

    void charge(double tokens) {
        level -= tokens;
    }

    /** Sets the level to the capacity of the bucket at {@code rate}. */
    void fillToBurst(double rate) {
        level = rate * MAX_BURST_SECONDS;
    }
}

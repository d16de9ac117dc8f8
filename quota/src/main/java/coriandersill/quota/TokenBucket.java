package coriandersill.quota;

/**
 * A rate limit that lets a call begin while any token is left and charges it in full, so that debts delay later calls.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** The time for which unused tokens are kept. */
    private static final double BURST_SECONDS = 1;

    private double level;
    private long filledNanos;

    TokenBucket(long nowNanos) {
        this.filledNanos = nowNanos;
    }

    /** Adds what {@code rate} tokens a second bring until {@code untilNanos}, if that lies ahead. */
    void fill(double rate, long untilNanos) {
        if (untilNanos - filledNanos > 0) {
            level = Math.min(level + rate * (untilNanos - filledNanos) / NANOS_PER_SECOND, rate * BURST_SECONDS);
            filledNanos = untilNanos;
        }
    }

    double level() {
        return level;
    }

    void take(double tokens) {
        level -= tokens;
    }

    /** Starts with the tokens of a full burst at {@code rate}. */
    void full(double rate) {
        level = rate * BURST_SECONDS;
    }
}

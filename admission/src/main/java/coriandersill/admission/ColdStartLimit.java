package coriandersill.admission;

/**
 * The concurrency that an upstream has shown to bear since it was last cold.
 *
 * <p>It starts at the cold limit, grows by half after eight proofs for each call that it allows, and falls back to the
 * cold limit at once when calls are slow without exception. A proof is progress as fast as a warm upstream's while at
 * least half of the limit is in use; the holder judges what that is.
 *
 * <p>Not safe for use by many threads; the holder's lock guards it.
 */
public final class ColdStartLimit {
    private static final double GROWTH = 1.5;
    private static final int PROOFS_PER_CALL = 8;
    /** Slow signs without a healthy one between them that show an upstream cold, as a multiple of running calls. */
    private static final int SLOW_ROUNDS = 4;

    private static final int MIN_SLOW_SIGNS = 4;

    private final int coldConcurrency;
    private final int maxConcurrency;
    private int limit;
    private int proofs;
    private int slowSigns;

    private ColdStartLimit(int coldConcurrency, int maxConcurrency) {
        this.coldConcurrency = coldConcurrency;
        this.maxConcurrency = maxConcurrency;
        this.limit = coldConcurrency;
    }

    /** Returns a limit for a cold upstream; {@code 1 <= coldConcurrency <= maxConcurrency}. */
    public static ColdStartLimit of(int coldConcurrency, int maxConcurrency) {
        if (coldConcurrency < 1 || maxConcurrency < coldConcurrency) {
            throw new IllegalArgumentException(
                    "cold start limit: expected 1 <= coldConcurrency <= maxConcurrency, found " + coldConcurrency
                            + " and " + maxConcurrency);
        }
        return new ColdStartLimit(coldConcurrency, maxConcurrency);
    }

    /** The calls that may run together now. */
    public int limit() {
        return limit;
    }

    /** Whether the limit has not grown since the upstream was last cold. */
    public boolean isAtColdLimit() {
        return limit == coldConcurrency;
    }

    /** Whether the limit is still below the warm one. */
    public boolean isCold() {
        return limit < maxConcurrency;
    }

    /** Notes progress as fast as a warm upstream's while {@code running} calls run. */
    public void recordWarm(int running) {
        slowSigns = 0;
        if (2 * running < limit || !isCold()) {
            return;
        }
        proofs++;
        if (proofs >= PROOFS_PER_CALL * limit) {
            limit = Math.min(maxConcurrency, (int) Math.ceil(limit * GROWTH));
            proofs = 0;
        }
    }

    /** Notes healthy progress, which proves nothing about a higher limit. */
    public void recordHealthy() {
        slowSigns = 0;
    }

    /** Notes a call that is as slow as on a cold upstream, while {@code running} calls run. */
    public void recordSlow(int running) {
        slowSigns++;
        proofs = 0;
        if (slowSigns >= Math.max(MIN_SLOW_SIGNS, SLOW_ROUNDS * running)) {
            reset();
        }
    }

    /** Falls back to the cold limit: the upstream is known to be cold. */
    public void reset() {
        limit = coldConcurrency;
        proofs = 0;
        slowSigns = 0;
    }
}

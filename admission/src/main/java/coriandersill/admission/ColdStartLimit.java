package coriandersill.admission;

/**
 * The concurrency limit of an upstream that warms up.
 *
 * <p>The limit starts at the cold limit, grows by half after eight warm samples for each call that it allows, and is
 * reset to the cold limit after a run of slow samples without a warm or healthy one in between. The caller classifies
 * each sample of progress as warm, healthy or slow. A warm sample counts only while at least half of the limit is in
 * use, because progress under less load is not evidence that the upstream sustains the limit.
 *
 * <p>Not thread-safe; guarded by the caller's lock.
 */
public final class ColdStartLimit {
    private static final double GROWTH_FACTOR = 1.5;
    private static final int WARM_SAMPLES_PER_CALL = 8;
    /** Number of consecutive slow samples, per running call, that reset the limit. */
    private static final int SLOW_SAMPLES_PER_CALL = 4;

    private static final int MIN_SLOW_SAMPLES = 4;

    private final int coldConcurrency;
    private final int maxConcurrency;
    private int limit;
    private int warmSamples;
    private int slowSamples;

    private ColdStartLimit(int coldConcurrency, int maxConcurrency) {
        this.coldConcurrency = coldConcurrency;
        this.maxConcurrency = maxConcurrency;
        this.limit = coldConcurrency;
    }

    /** Creates a limit for a cold upstream; requires {@code 1 <= coldConcurrency <= maxConcurrency}. */
    public static ColdStartLimit of(int coldConcurrency, int maxConcurrency) {
        if (coldConcurrency < 1 || maxConcurrency < coldConcurrency) {
            throw new IllegalArgumentException(
                    "cold start limit: expected 1 <= coldConcurrency <= maxConcurrency, found " + coldConcurrency
                            + " and " + maxConcurrency);
        }
        return new ColdStartLimit(coldConcurrency, maxConcurrency);
    }

    /** Returns the number of calls that may run concurrently now. */
    public int limit() {
        return limit;
    }

    /** Returns whether the limit has not grown since the last reset. */
    public boolean isAtColdLimit() {
        return limit == coldConcurrency;
    }

    /** Returns whether the limit is below its maximum. */
    public boolean isCold() {
        return limit < maxConcurrency;
    }

    /** Records progress as fast as that of a warm upstream, with {@code running} calls running. */
    public void recordWarm(int running) {
        slowSamples = 0;
        if (2 * running < limit || !isCold()) {
            return;
        }
        warmSamples++;
        if (warmSamples >= WARM_SAMPLES_PER_CALL * limit) {
            limit = Math.min(maxConcurrency, (int) Math.ceil(limit * GROWTH_FACTOR));
            warmSamples = 0;
        }
    }

    /** Records progress that is healthy but not evidence for a higher limit. */
    public void recordHealthy() {
        slowSamples = 0;
    }

    /** Records progress as slow as on a cold upstream, with {@code running} calls running. */
    public void recordSlow(int running) {
        slowSamples++;
        warmSamples = 0;
        if (slowSamples >= Math.max(MIN_SLOW_SAMPLES, SLOW_SAMPLES_PER_CALL * running)) {
            reset();
        }
    }

    /** Resets the limit to the cold limit. */
    public void reset() {
        limit = coldConcurrency;
        warmSamples = 0;
        slowSamples = 0;
    }
}

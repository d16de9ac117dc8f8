package coriandersill.admission;

/**
 * The time between tokens of a warm engine, as a linear regression over the number of running calls with exponential
 * decay.
 *
 * <p>Only samples without a concurrent prefill are added, so that a sample well above the line is not explained by
 * prefill. Guarded by the lock of {@link PredictiveAdmission}.
 */
final class InterTokenBaseline {
    private static final int MIN_SAMPLES = 64;
    private static final double DECAY = 0.999;
    private static final double SLOW_FACTOR = 1.8;

    private int samples;
    /** The decayed number of samples. */
    private double sampleWeight;

    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    void add(int running, long interTokenNanos) {
        samples++;
        sampleWeight = sampleWeight * DECAY + 1;
        sumX = sumX * DECAY + running;
        sumY = sumY * DECAY + interTokenNanos;
        sumXx = sumXx * DECAY + (double) running * running;
        sumXy = sumXy * DECAY + (double) running * interTokenNanos;
    }

    /** Returns whether {@code interTokenNanos} is well above the baseline for {@code running} calls. */
    boolean isSlow(int running, long interTokenNanos) {
        return samples >= MIN_SAMPLES && interTokenNanos > SLOW_FACTOR * expectedNanos(running);
    }

    void reset() {
        samples = 0;
        sampleWeight = 0;
        sumX = 0;
        sumY = 0;
        sumXx = 0;
        sumXy = 0;
    }

    /**
     * Returns the time between tokens that the regression predicts. If the number of calls has hardly varied, the slope
     * cannot be estimated and is taken as 0; the lower bound limits extrapolation to few calls.
     */
    private double expectedNanos(int running) {
        double meanX = sumX / sampleWeight;
        double meanY = sumY / sampleWeight;
        double variance = sumXx / sampleWeight - meanX * meanX;
        double slope = variance < 1 ? 0 : Math.max(0, (sumXy / sampleWeight - meanX * meanY) / variance);
        return Math.max(meanY / 2, meanY + slope * (running - meanX));
    }
}

package coriandersill.admission;

/**
 * The time between tokens that an engine has shown when warm, as a line over the number of running calls.
 *
 * <p>It is learnt only from gaps without prefill, so that a gap well above the line has another cause. Guarded by the
 * lock of {@link PredictiveAdmission}.
 */
final class InterTokenBaseline {
    private static final int MIN_SAMPLES = 64;
    private static final double DECAY = 0.999;
    private static final double SLOW_FACTOR = 1.8;

    private int samples;
    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    void learn(int running, long gapNanos) {
        samples++;
        weight = weight * DECAY + 1;
        sumX = sumX * DECAY + running;
        sumY = sumY * DECAY + gapNanos;
        sumXx = sumXx * DECAY + (double) running * running;
        sumXy = sumXy * DECAY + (double) running * gapNanos;
    }

    /** Whether {@code gapNanos} is far above what the engine showed with so many running. */
    boolean slow(int running, long gapNanos) {
        return samples >= MIN_SAMPLES && gapNanos > SLOW_FACTOR * expected(running);
    }

    void forget() {
        samples = 0;
        weight = 0;
        sumX = 0;
        sumY = 0;
        sumXx = 0;
        sumXy = 0;
    }

    private double expected(int running) {
        double meanX = sumX / weight;
        double meanY = sumY / weight;
        double spread = sumXx / weight - meanX * meanX;
        double slope = spread < 1 ? 0 : Math.max(0, (sumXy / weight - meanX * meanY) / spread);
        return Math.max(meanY / 2, meanY + slope * (running - meanX));
    }
}

package coriandersill.admission;

/**
 * The engine memory that the running generations are expected to hold in the future, maintained incrementally as
 * generations are added and removed.
 *
 * <p>For each of a fixed set of horizons, sums the mean and the variance of the memory held by every generation at that
 * time: none if it has ended, otherwise its prompt and all its tokens. The variances can be added because lengths are
 * independent, so a large set needs a smaller reserve per generation than a small one.
 */
final class MemoryProjection {
    /** The horizons as numbers of further tokens, growing by a half or a third at each step. */
    private static final int[] HORIZON_TOKENS = {
        0, 16, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192, 12_288, 16_384,
        24_576, 32_768
    };

    private final double[] mean = new double[HORIZON_TOKENS.length];
    private final double[] variance = new double[HORIZON_TOKENS.length];
    private int memberCount;

    /** The mean and variance that one generation adds at each horizon. */
    static final class Contribution {
        private final double[] mean = new double[HORIZON_TOKENS.length];
        private final double[] variance = new double[HORIZON_TOKENS.length];
    }

    /**
     * Returns the contribution of a generation that holds {@code heldTokens} now and produces further tokens as
     * distributed by {@code remaining}, but at most {@code maxFurtherTokens}.
     */
    static Contribution contribution(long heldTokens, RemainingLength remaining, int maxFurtherTokens) {
        Contribution contribution = new Contribution();
        int previousHorizon = -1;
        for (int i = 0; i < HORIZON_TOKENS.length && previousHorizon < maxFurtherTokens; i++) {
            int furtherTokens = Math.min(HORIZON_TOKENS[i], maxFurtherTokens);
            // The memory at this horizon is held if the generation produces at least this many tokens.
            double survival = furtherTokens == 0 ? 1 : remaining.survival(furtherTokens - 1);
            double held = heldTokens + furtherTokens;
            contribution.mean[i] = survival * held;
            contribution.variance[i] = survival * (1 - survival) * held * held;
            previousHorizon = HORIZON_TOKENS[i];
        }
        return contribution;
    }

    void add(Contribution added) {
        memberCount++;
        for (int i = 0; i < HORIZON_TOKENS.length; i++) {
            mean[i] += added.mean[i];
            variance[i] += added.variance[i];
        }
    }

    /** Subtracts a contribution; removing the last one resets the sums, which removes accumulated rounding errors. */
    void remove(Contribution removed) {
        memberCount--;
        for (int i = 0; i < HORIZON_TOKENS.length; i++) {
            mean[i] = memberCount == 0 ? 0 : mean[i] - removed.mean[i];
            variance[i] = memberCount == 0 ? 0 : Math.max(0, variance[i] - removed.variance[i]);
        }
    }

    /**
     * Returns the maximum over all horizons of the mean plus {@code standardDeviations} standard deviations, in tokens.
     */
    long peak(double standardDeviations) {
        return peakWith(null, standardDeviations);
    }

    /** Returns the {@link #peak} with one more generation; {@code added} may be null. */
    long peakWith(Contribution added, double standardDeviations) {
        double peak = 0;
        for (int i = 0; i < HORIZON_TOKENS.length; i++) {
            double totalMean = mean[i] + (added == null ? 0 : added.mean[i]);
            double totalVariance = variance[i] + (added == null ? 0 : added.variance[i]);
            peak = Math.max(peak, totalMean + standardDeviations * Math.sqrt(totalVariance));
        }
        return (long) Math.ceil(peak);
    }
}

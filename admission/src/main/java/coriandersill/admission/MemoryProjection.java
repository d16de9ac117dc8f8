package coriandersill.admission;

/**
 * The engine memory that the running set is expected to hold over its future, as sums that change with each generation
 * and never need all of them at once.
 *
 * <p>For each of a few horizons it sums the mean and the variance of what every generation holds then: nothing if it
 * has ended, else its prompt and all its tokens. The variances add up because lengths are independent, so a large set
 * needs a smaller reserve for each member than a small one.
 */
final class MemoryProjection {
    /** Tokens from now, in steps of a half or a third. */
    private static final int[] HORIZONS = {
        0, 16, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192, 12_288, 16_384,
        24_576, 32_768
    };

    private final double[] mean = new double[HORIZONS.length];
    private final double[] variance = new double[HORIZONS.length];
    private int members;

    /** What one generation adds at each horizon. */
    static final class Contribution {
        private final double[] mean = new double[HORIZONS.length];
        private final double[] variance = new double[HORIZONS.length];
    }

    /**
     * Returns what a generation adds that holds {@code heldTokens} now, is to produce {@code remaining}, and at most
     * {@code mostMore}, further tokens.
     */
    static Contribution contribution(long heldTokens, RemainingLength remaining, int mostMore) {
        Contribution contribution = new Contribution();
        int before = -1;
        for (int i = 0; i < HORIZONS.length && before < mostMore; i++) {
            int more = Math.min(HORIZONS[i], mostMore);
            double alive = more == 0 ? 1 : remaining.survival(more - 1);
            double held = heldTokens + more;
            contribution.mean[i] = alive * held;
            contribution.variance[i] = alive * (1 - alive) * held * held;
            before = HORIZONS[i];
        }
        return contribution;
    }

    void add(Contribution added) {
        members++;
        for (int i = 0; i < HORIZONS.length; i++) {
            mean[i] += added.mean[i];
            variance[i] += added.variance[i];
        }
    }

    void remove(Contribution removed) {
        members--;
        for (int i = 0; i < HORIZONS.length; i++) {
            mean[i] = members == 0 ? 0 : mean[i] - removed.mean[i];
            variance[i] = members == 0 ? 0 : Math.max(0, variance[i] - removed.variance[i]);
        }
    }

    /** Returns the most tokens held at any horizon, {@code deviations} standard deviations above the mean. */
    long peak(double deviations) {
        return peakWith(null, deviations);
    }

    /** Returns the same with one generation more. */
    long peakWith(Contribution added, double deviations) {
        double peak = 0;
        for (int i = 0; i < HORIZONS.length; i++) {
            double sum = mean[i] + (added == null ? 0 : added.mean[i]);
            double spread = variance[i] + (added == null ? 0 : added.variance[i]);
            peak = Math.max(peak, sum + deviations * Math.sqrt(spread));
        }
        return (long) Math.ceil(peak);
    }
}

package coriandersill.rollout;

/**
 * Log-likelihood ratios for a latency: new against old in one stratum.
 *
 * <p>The old version's durations above a threshold are counted against the new version's above the threshold times the
 * tolerated ratio. A new version that is at most that much slower exceeds its threshold no more often than the old one
 * does, whatever the shape of the distribution, so the question is whether one coin shows heads more often than
 * another. The threshold is an upper quantile of the old version's durations in earlier windows. The ratio of
 * "{@code theta0} and {@code theta1}" to "both their average" has a mean of at most 1 when the coins are alike.
 */
final class LatencyLikelihoodRatios {
    private static final double[] ODDS = {1.6, 2.5, 5};
    private static final double QUANTILE = 0.7;
    private static final long LEAST_HISTORY = 40;
    private static final long HALVE_AT = 4000;
    private static final double LEAST_RATE = 0.02;

    private final int toleratedBuckets;
    private final double[] history = new double[LatencyHistogram.BUCKETS];
    private double historyTotal;

    LatencyLikelihoodRatios(double tolerance) {
        this.toleratedBuckets = (int)
                Math.max(1, Math.floor(Math.log(tolerance) / Math.log(2) * LatencyHistogram.BUCKETS_PER_DOUBLING));
    }

    static int alternatives() {
        return ODDS.length;
    }

    /** Adds the ratios of one stratum to {@code logRatios}, then learns the old version's durations. */
    void addTo(double[] logRatios, LatencyHistogram from, LatencyHistogram to) {
        if (historyTotal >= LEAST_HISTORY && from.total() > 0 && to.total() > 0) {
            compare(logRatios, from, to);
        }
        learn(from);
    }

    private void compare(double[] logRatios, LatencyHistogram from, LatencyHistogram to) {
        int threshold = threshold();
        double theta0 = clamp(rateAbove(threshold));
        long above0 = from.countAbove(threshold);
        long above1 = to.countAbove(threshold + toleratedBuckets);
        for (int i = 0; i < ODDS.length; i++) {
            double theta1 = clamp(theta0 * ODDS[i] / (1 - theta0 + theta0 * ODDS[i]));
            double mean = (from.total() * theta0 + to.total() * theta1) / (from.total() + to.total());
            logRatios[i] += above0 * Math.log(theta0 / mean)
                    + (from.total() - above0) * Math.log((1 - theta0) / (1 - mean))
                    + above1 * Math.log(theta1 / mean)
                    + (to.total() - above1) * Math.log((1 - theta1) / (1 - mean));
        }
    }

    private int threshold() {
        double sum = 0;
        for (int bucket = 0; bucket < history.length; bucket++) {
            sum += history[bucket];
            if (sum >= QUANTILE * historyTotal) {
                return Math.min(bucket, LatencyHistogram.BUCKETS - 1 - toleratedBuckets);
            }
        }
        return LatencyHistogram.BUCKETS - 1 - toleratedBuckets;
    }

    private double rateAbove(int threshold) {
        double sum = 0;
        for (int bucket = threshold + 1; bucket < history.length; bucket++) {
            sum += history[bucket];
        }
        return sum / historyTotal;
    }

    private void learn(LatencyHistogram from) {
        for (int bucket = 0; bucket < history.length; bucket++) {
            history[bucket] += from.count(bucket);
        }
        historyTotal += from.total();
        if (historyTotal > HALVE_AT) {
            for (int bucket = 0; bucket < history.length; bucket++) {
                history[bucket] /= 2;
            }
            historyTotal /= 2;
        }
    }

    private static double clamp(double rate) {
        return Math.max(LEAST_RATE, Math.min(1 - LEAST_RATE, rate));
    }
}

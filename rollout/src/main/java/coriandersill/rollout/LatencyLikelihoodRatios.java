package coriandersill.rollout;

/**
 * Log-likelihood ratios of a latency signal of the new version against the old one within a stratum.
 *
 * <p>The test counts the durations of the old version above a threshold, and those of the new version above that
 * threshold times the tolerated ratio. A new version that is slower by at most the tolerated ratio exceeds its
 * threshold no more often than the old one, whatever the shape of the distribution, so the comparison reduces to that
 * of two binomial proportions. The threshold is an upper quantile of the durations of the old version in earlier
 * windows. The likelihood ratio of "proportions {@code theta0} and {@code theta1}" to "both equal to their mean" has a
 * mean of at most 1 if the proportions are equal.
 */
final class LatencyLikelihoodRatios {
    private static final double[] ALTERNATIVE_ODDS_RATIOS = {1.6, 2.5, 5};
    private static final double THRESHOLD_QUANTILE = 0.7;
    private static final long MIN_HISTORY_CALLS = 40;
    private static final long MAX_HISTORY_CALLS = 4000;
    private static final double MIN_EXCEEDANCE_RATE = 0.02;

    private final int toleratedBuckets;
    private final double[] history = new double[LatencyHistogram.BUCKETS];
    private double historyTotal;

    LatencyLikelihoodRatios(double tolerance) {
        this.toleratedBuckets = (int)
                Math.max(1, Math.floor(Math.log(tolerance) / Math.log(2) * LatencyHistogram.BUCKETS_PER_DOUBLING));
    }

    static int alternativeCount() {
        return ALTERNATIVE_ODDS_RATIOS.length;
    }

    /**
     * Adds the log-likelihood ratio of each alternative in one window to {@code logRatios}, then adds the durations of
     * the old version to the history from which the threshold of later windows is derived.
     */
    void addTo(double[] logRatios, LatencyHistogram oldDurations, LatencyHistogram newDurations) {
        if (historyTotal >= MIN_HISTORY_CALLS && oldDurations.total() > 0 && newDurations.total() > 0) {
            compare(logRatios, oldDurations, newDurations);
        }
        addToHistory(oldDurations);
    }

    private void compare(double[] logRatios, LatencyHistogram oldDurations, LatencyHistogram newDurations) {
        int thresholdBucket = thresholdBucket();
        double theta0 = clamp(rateAbove(thresholdBucket));
        long oldAbove = oldDurations.countAbove(thresholdBucket);
        long newAbove = newDurations.countAbove(thresholdBucket + toleratedBuckets);
        for (int i = 0; i < ALTERNATIVE_ODDS_RATIOS.length; i++) {
            double theta1 =
                    clamp(theta0 * ALTERNATIVE_ODDS_RATIOS[i] / (1 - theta0 + theta0 * ALTERNATIVE_ODDS_RATIOS[i]));
            double meanRate = (oldDurations.total() * theta0 + newDurations.total() * theta1)
                    / (oldDurations.total() + newDurations.total());
            logRatios[i] += oldAbove * Math.log(theta0 / meanRate)
                    + (oldDurations.total() - oldAbove) * Math.log((1 - theta0) / (1 - meanRate))
                    + newAbove * Math.log(theta1 / meanRate)
                    + (newDurations.total() - newAbove) * Math.log((1 - theta1) / (1 - meanRate));
        }
    }

    /** Returns the bucket above which a duration of the old version counts as slow. */
    private int thresholdBucket() {
        double sum = 0;
        for (int bucket = 0; bucket < history.length; bucket++) {
            sum += history[bucket];
            if (sum >= THRESHOLD_QUANTILE * historyTotal) {
                return Math.min(bucket, LatencyHistogram.BUCKETS - 1 - toleratedBuckets);
            }
        }
        return LatencyHistogram.BUCKETS - 1 - toleratedBuckets;
    }

    private double rateAbove(int thresholdBucket) {
        double sum = 0;
        for (int bucket = thresholdBucket + 1; bucket < history.length; bucket++) {
            sum += history[bucket];
        }
        return sum / historyTotal;
    }

    /** Adds durations to the history; a full history is halved, so that recent durations outweigh older ones. */
    private void addToHistory(LatencyHistogram oldDurations) {
        for (int bucket = 0; bucket < history.length; bucket++) {
            history[bucket] += oldDurations.count(bucket);
        }
        historyTotal += oldDurations.total();
        if (historyTotal > MAX_HISTORY_CALLS) {
            for (int bucket = 0; bucket < history.length; bucket++) {
                history[bucket] /= 2;
            }
            historyTotal /= 2;
        }
    }

    /** Keeps a rate away from 0 and 1, so that the logarithms of the likelihoods stay finite. */
    private static double clamp(double rate) {
        return Math.max(MIN_EXCEEDANCE_RATE, Math.min(1 - MIN_EXCEEDANCE_RATE, rate));
    }
}

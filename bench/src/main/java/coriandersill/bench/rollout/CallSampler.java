package coriandersill.bench.rollout;

import coriandersill.rollout.LatencyHistogram;
import java.util.SplittableRandom;

/** Samples call counts and latency histograms. */
final class CallSampler {
    private static final double MIN_MEAN_FOR_NORMAL_APPROXIMATION = 30;
    /**
     * With more calls, the counts of the buckets are sampled, at a cost that does not depend on the number of calls.
     */
    private static final long MAX_INDIVIDUAL_SAMPLES = 60;
    /** The range of the samples around the median, in standard deviations. */
    private static final double MAX_DEVIATION_SIGMAS = 5;

    /** The lower bound of the first bucket of a {@link LatencyHistogram}. */
    private static final double MIN_LATENCY_NANOS = 1e6;

    /** Samples of the standard normal distribution, computed once; each individually sampled call picks one. */
    private static final double[] STANDARD_NORMAL_SAMPLES = new SplittableRandom(1)
            .doubles(1 << 14)
            .map(CallSampler::normalQuantile)
            .toArray();

    private final SplittableRandom random;

    CallSampler(SplittableRandom random) {
        this.random = random;
    }

    /** Samples a Poisson distribution by Knuth's method, or by the normal approximation if the mean is large. */
    long poisson(double mean) {
        if (mean <= 0) {
            return 0;
        }
        if (mean > MIN_MEAN_FOR_NORMAL_APPROXIMATION) {
            return Math.max(0, Math.round(mean + Math.sqrt(mean) * random.nextGaussian()));
        }
        double limit = Math.exp(-mean);
        long count = 0;
        double product = random.nextDouble();
        while (product > limit) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }

    /**
     * Samples a histogram of lognormal latencies. Each call is sampled individually if there are few; otherwise the
     * counts of the buckets are sampled independently, so that their sum is only approximately {@code calls}.
     *
     * @param sigma the standard deviation of the logarithm of the latency
     */
    LatencyHistogram latencies(long calls, double medianNanos, double sigma) {
        if (calls == 0) {
            return LatencyHistogram.empty();
        }
        int[] counts = new int[LatencyHistogram.BUCKETS];
        if (calls <= MAX_INDIVIDUAL_SAMPLES) {
            double logMedian = Math.log(medianNanos / MIN_LATENCY_NANOS);
            for (long i = 0; i < calls; i++) {
                double doublings =
                        (logMedian + sigma * STANDARD_NORMAL_SAMPLES[random.nextInt(STANDARD_NORMAL_SAMPLES.length)])
                                / Math.log(2);
                int bucket = (int) (doublings * LatencyHistogram.BUCKETS_PER_DOUBLING);
                counts[Math.max(0, Math.min(LatencyHistogram.BUCKETS - 1, bucket))]++;
            }
        } else {
            fillBuckets(counts, calls, medianNanos, sigma);
        }
        return LatencyHistogram.of(counts);
    }

    private void fillBuckets(int[] counts, long calls, double medianNanos, double sigma) {
        double spreadFactor = Math.exp(sigma * MAX_DEVIATION_SIGMAS);
        int low = LatencyHistogram.bucketOf((long) (medianNanos / spreadFactor));
        int high = LatencyHistogram.bucketOf((long) (medianNanos * spreadFactor));
        double lowerCdf = 0;
        for (int bucket = low; bucket <= high; bucket++) {
            double upper = MIN_LATENCY_NANOS * Math.pow(2, (bucket + 1.0) / LatencyHistogram.BUCKETS_PER_DOUBLING);
            double upperCdf = bucket == high ? 1 : normalCdf(Math.log(upper / medianNanos) / sigma);
            counts[bucket] = (int) poisson(calls * (upperCdf - lowerCdf));
            lowerCdf = upperCdf;
        }
    }

    /** Returns the inverse of {@link #normalCdf}, found by bisection. */
    private static double normalQuantile(double probability) {
        double low = -MAX_DEVIATION_SIGMAS;
        double high = MAX_DEVIATION_SIGMAS;
        for (int step = 0; step < 40; step++) {
            double middle = (low + high) / 2;
            if (normalCdf(middle) < probability) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return (low + high) / 2;
    }

    /** Returns the normal distribution function by the logistic approximation of Bowling et al.; error below 0.0002. */
    private static double normalCdf(double z) {
        return 1 / (1 + Math.exp(-0.07056 * z * z * z - 1.5976 * z));
    }
}

package coriandersill.bench.rollout;

import coriandersill.rollout.LatencyHistogram;
import java.util.SplittableRandom;

/** Draws counts of calls and their latencies. */
final class CallSampler {
    private static final double NORMAL_FROM = 30;
    private static final long SINGLY_UP_TO = 60;
    private static final double RANGE_SIGMAS = 5;

    private static final double LOWEST_NANOS = 1e6;
    /** Draws from the normal distribution, drawn once: a call takes one of them. */
    private static final double[] NORMAL = new SplittableRandom(1)
            .doubles(1 << 14)
            .map(CallSampler::normalQuantile)
            .toArray();

    private final SplittableRandom random;

    CallSampler(SplittableRandom random) {
        this.random = random;
    }

    long poisson(double mean) {
        if (mean <= 0) {
            return 0;
        }
        if (mean > NORMAL_FROM) {
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

    LatencyHistogram latencies(long calls, double medianNanos, double sigma) {
        if (calls == 0) {
            return LatencyHistogram.empty();
        }
        int[] counts = new int[LatencyHistogram.BUCKETS];
        if (calls <= SINGLY_UP_TO) {
            double middle = Math.log(medianNanos / LOWEST_NANOS);
            for (long i = 0; i < calls; i++) {
                double doublings = (middle + sigma * NORMAL[random.nextInt(NORMAL.length)]) / Math.log(2);
                int bucket = (int) (doublings * LatencyHistogram.BUCKETS_PER_DOUBLING);
                counts[Math.max(0, Math.min(LatencyHistogram.BUCKETS - 1, bucket))]++;
            }
        } else {
            fillBuckets(counts, calls, medianNanos, sigma);
        }
        return LatencyHistogram.of(counts);
    }

    private void fillBuckets(int[] counts, long calls, double medianNanos, double sigma) {
        double spread = Math.exp(sigma * RANGE_SIGMAS);
        int low = LatencyHistogram.bucketOf((long) (medianNanos / spread));
        int high = LatencyHistogram.bucketOf((long) (medianNanos * spread));
        double before = 0;
        for (int bucket = low; bucket <= high; bucket++) {
            double upper = LOWEST_NANOS * Math.pow(2, (bucket + 1.0) / LatencyHistogram.BUCKETS_PER_DOUBLING);
            double below = bucket == high ? 1 : normalBelow(Math.log(upper / medianNanos) / sigma);
            counts[bucket] = (int) poisson(calls * (below - before));
            before = below;
        }
    }

    /** Inverts {@link #normalBelow} by bisection. */
    private static double normalQuantile(double below) {
        double low = -RANGE_SIGMAS;
        double high = RANGE_SIGMAS;
        for (int step = 0; step < 40; step++) {
            double middle = (low + high) / 2;
            if (normalBelow(middle) < below) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return (low + high) / 2;
    }

    /** The logistic approximation of the normal distribution function by Bowling et al., within 0.0002. */
    private static double normalBelow(double z) {
        return 1 / (1 + Math.exp(-0.07056 * z * z * z - 1.5976 * z));
    }
}

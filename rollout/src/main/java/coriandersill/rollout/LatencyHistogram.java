package coriandersill.rollout;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Immutable counts of durations in buckets whose bounds grow by the fourth root of two, from 1 ms to 64 s.
 *
 * <p>Histograms add up bucket by bucket, whichever process counted.
 */
public final class LatencyHistogram {
    /** How many buckets there are. */
    public static final int BUCKETS = 64;

    /** How many buckets lie between a duration and its double. */
    public static final int BUCKETS_PER_DOUBLING = 4;

    private static final double BUCKETS_PER_NAT = BUCKETS_PER_DOUBLING / Math.log(2);
    private static final double LOWEST_NANOS = 1_000_000;
    private static final LatencyHistogram EMPTY = new LatencyHistogram(new int[BUCKETS]);

    private final int[] counts;
    private final long total;

    private LatencyHistogram(int[] counts) {
        this.counts = counts;
        long sum = 0;
        for (int count : counts) {
            sum += count;
        }
        this.total = sum;
    }

    /** Returns the histogram without counts. */
    public static LatencyHistogram empty() {
        return EMPTY;
    }

    /** Returns a histogram with a copy of {@code counts}; refuses more than {@link #BUCKETS} or negative counts. */
    public static LatencyHistogram of(int... counts) {
        if (counts.length > BUCKETS) {
            throw new IllegalArgumentException("counts: expected at most " + BUCKETS + ", found " + counts.length);
        }
        for (int count : counts) {
            if (count < 0) {
                throw new IllegalArgumentException("counts: expected 0 or more, found " + count);
            }
        }
        return new LatencyHistogram(Arrays.copyOf(counts, BUCKETS));
    }

    /** Returns the bucket of a duration in nanoseconds; durations out of range fall into the first or last one. */
    public static int bucketOf(long nanos) {
        if (nanos <= LOWEST_NANOS) {
            return 0;
        }
        return (int) Math.min(BUCKETS - 1, Math.log(nanos / LOWEST_NANOS) * BUCKETS_PER_NAT);
    }

    /** Returns the sum of both histograms. */
    public LatencyHistogram plus(LatencyHistogram other) {
        if (total == 0) {
            return other;
        }
        if (other.total == 0) {
            return this;
        }
        return new LatencyHistogram(IntStream.range(0, BUCKETS)
                .map(bucket -> counts[bucket] + other.counts[bucket])
                .toArray());
    }

    /** Returns how many durations were counted. */
    public long total() {
        return total;
    }

    /** Returns the count of one bucket. */
    public int count(int bucket) {
        return counts[bucket];
    }

    /** Returns how many durations lie in buckets above {@code bucket}. */
    public long countAbove(int bucket) {
        long sum = 0;
        for (int i = Math.max(0, bucket + 1); i < BUCKETS; i++) {
            sum += counts[i];
        }
        return sum;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LatencyHistogram histogram && Arrays.equals(counts, histogram.counts);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(counts);
    }

    @Override
    public String toString() {
        return "LatencyHistogram" + Arrays.toString(counts);
    }
}

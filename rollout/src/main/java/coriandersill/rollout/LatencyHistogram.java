package coriandersill.rollout;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * An immutable histogram of durations from 1 ms to about 65 s, with bucket bounds that grow by the fourth root of two.
 *
 * <p>The buckets are the same in every process, so histograms of different processes can be added.
 */
public final class LatencyHistogram {
    /** The number of buckets. */
    public static final int BUCKETS = 64;

    /** The number of buckets per doubling of the duration. */
    public static final int BUCKETS_PER_DOUBLING = 4;

    private static final double BUCKETS_PER_NAT = BUCKETS_PER_DOUBLING / Math.log(2);
    private static final double MIN_NANOS = 1_000_000;
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

    /** Returns a histogram without counts. */
    public static LatencyHistogram empty() {
        return EMPTY;
    }

    /**
     * Returns a histogram with a copy of {@code counts}.
     *
     * @throws IllegalArgumentException if there are more than {@link #BUCKETS} counts or a count is negative
     */
    public static LatencyHistogram of(int... counts) {
        if (counts.length > BUCKETS) {
            throw new IllegalArgumentException(
                    "counts: expected at most " + BUCKETS + " buckets, found " + counts.length);
        }
        for (int count : counts) {
            if (count < 0) {
                throw new IllegalArgumentException("counts: expected 0 or more, found " + count);
            }
        }
        return new LatencyHistogram(Arrays.copyOf(counts, BUCKETS));
    }

    /** Returns the bucket of a duration in nanoseconds; durations out of range map to the first or last bucket. */
    public static int bucketOf(long nanos) {
        if (nanos <= MIN_NANOS) {
            return 0;
        }
        return (int) Math.min(BUCKETS - 1, Math.log(nanos / MIN_NANOS) * BUCKETS_PER_NAT);
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

    /** Returns the number of durations counted. */
    public long total() {
        return total;
    }

    /** Returns the count of one bucket. */
    public int count(int bucket) {
        return counts[bucket];
    }

    /** Returns the number of durations in the buckets above {@code bucket}. */
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

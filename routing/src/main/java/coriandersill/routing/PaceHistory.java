package coriandersill.routing;

import java.time.Duration;
import java.util.Arrays;

/**
 * The latest observed times of one upstream for one unit of work, in intervals of half a second.
 *
 * <p>An interval counts with the lower quartile of its times: prompts that are read beside a stream, packets that are
 * lost and queues delay some, a slow upstream delays all. For the same reason, the lasting time is the lower quartile
 * of the intervals: what passes within a second or two shows in the spread only. Not thread-safe.
 */
final class PaceHistory {
    private static final long INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /** Twenty seconds of a stream; an interval without an observation takes no place. */
    private static final int MAX_INTERVALS = 40;

    private static final int MAX_TIMES_PER_INTERVAL = 16;

    /** An interval older than this says little of the upstream's load and machine. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

    /** The ratio of the interquartile range to the standard deviation of a normal distribution. */
    private static final double INTERQUARTILE_DEVIATIONS = 1.35;

    /** The standard error of a quartile, in standard deviations over the square root of the count. */
    private static final double QUARTILE_ERROR = 1.36;

    private final double[] intervalTimes = new double[MAX_INTERVALS];
    private final long[] endedAtNanos = new long[MAX_INTERVALS];
    private int intervals;
    private final double[] times = new double[MAX_TIMES_PER_INTERVAL];
    private int count;
    private long beganAtNanos;

    /**
     * The lasting time.
     *
     * @param time the lower quartile of the intervals
     * @param fastest the time that one in ten intervals stays below
     * @param deviation the standard deviation of the intervals, by their quartiles
     * @param intervals the number of intervals; 0 if there are none
     * @param ageNanos the time since the latest one
     */
    record Estimate(double time, double fastest, double deviation, int intervals, long ageNanos) {
        static final Estimate NONE = new Estimate(0, 0, 0, 0, 0);

        /** Returns the standard error of the time, relative to the time. */
        double relativeError() {
            return intervals == 0 ? Double.POSITIVE_INFINITY : QUARTILE_ERROR * deviation / Math.sqrt(intervals) / time;
        }
    }

    /** Records a time; returns whether an interval was completed. */
    boolean record(long nowNanos, double time) {
        boolean completed = count > 0 && nowNanos - beganAtNanos >= INTERVAL_NANOS;
        if (completed) {
            double[] sorted = Arrays.copyOf(times, Math.min(count, MAX_TIMES_PER_INTERVAL));
            Arrays.sort(sorted);
            intervalTimes[intervals % MAX_INTERVALS] = sorted[sorted.length / 4];
            endedAtNanos[intervals % MAX_INTERVALS] = nowNanos;
            intervals++;
            count = 0;
        }
        if (count == 0) {
            beganAtNanos = nowNanos;
        }
        times[count % MAX_TIMES_PER_INTERVAL] = time;
        count++;
        return completed;
    }

    /** Returns the lasting time by the intervals that are not too old. */
    Estimate estimate(long nowNanos) {
        double[] recent = new double[MAX_INTERVALS];
        int kept = 0;
        long latestAgeNanos = Long.MAX_VALUE;
        for (int i = 0; i < Math.min(intervals, MAX_INTERVALS); i++) {
            long ageNanos = nowNanos - endedAtNanos[i];
            if (ageNanos <= MAX_AGE_NANOS) {
                recent[kept++] = intervalTimes[i];
                latestAgeNanos = Math.min(latestAgeNanos, ageNanos);
            }
        }
        if (kept == 0) {
            return Estimate.NONE;
        }
        double[] sorted = Arrays.copyOf(recent, kept);
        Arrays.sort(sorted);
        double deviation = (sorted[kept * 3 / 4] - sorted[kept / 4]) / INTERQUARTILE_DEVIATIONS;
        return new Estimate(sorted[(kept - 1) / 4], sorted[kept / 10], deviation, kept, latestAgeNanos);
    }
}

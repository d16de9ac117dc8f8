package coriandersill.duties;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * This machine's wall clock without its jumps: the monotonic clock plus the median of their recent differences.
 *
 * <p>A jump that lasts less than half of the time over which the median is taken has no effect. Not thread-safe.
 */
public final class WallClockEstimate {
    /** The number of differences of which the median is taken; at one each second, jumps below 30 s have no effect. */
    private static final int SAMPLES = 60;

    private static final long SAMPLE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final MonotonicClock clock;
    private final LongSupplier wallMillis;
    private final Deque<Long> differences = new ArrayDeque<>();
    private long lastSampleNanos;

    private WallClockEstimate(MonotonicClock clock, LongSupplier wallMillis) {
        this.clock = clock;
        this.wallMillis = wallMillis;
    }

    /** Returns an estimate that reads the wall clock, in milliseconds after 1970, from {@code wallMillis}. */
    public static WallClockEstimate create(MonotonicClock clock, LongSupplier wallMillis) {
        return new WallClockEstimate(clock, wallMillis);
    }

    /** Reads the clocks if the last time is long enough ago; to be called at least once a second. */
    public void sample() {
        long now = clock.nanos();
        if (!differences.isEmpty() && now - lastSampleNanos < SAMPLE_INTERVAL_NANOS) {
            return;
        }
        lastSampleNanos = now;
        differences.add(wallMillis.getAsLong() - monotonicMillis());
        if (differences.size() > SAMPLES) {
            differences.poll();
        }
    }

    /** Returns the estimate, in milliseconds after 1970. */
    public long millis() {
        if (differences.isEmpty()) {
            sample();
        }
        return monotonicMillis() + Medians.of(differences);
    }

    private long monotonicMillis() {
        return clock.nanos() / 1_000_000;
    }
}

package coriandersill.admission;

import java.time.Duration;

/** Estimates the wait in a queue from the smoothed interval between departures. */
final class WaitForecast {
    /** The weight of a new interval in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private static final long MIN_WAIT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAX_WAIT_NANOS = Duration.ofSeconds(10).toNanos();

    private double departureIntervalNanos = MIN_WAIT_NANOS;
    private long lastDepartureNanos;
    private boolean departureSeen;

    void recordDeparture(long nowNanos) {
        if (departureSeen) {
            departureIntervalNanos += SMOOTHING_FACTOR * (nowNanos - lastDepartureNanos - departureIntervalNanos);
        }
        lastDepartureNanos = nowNanos;
        departureSeen = true;
    }

    Duration expectedWait(int waiting) {
        double nanos = departureIntervalNanos * (waiting + 1);
        long bounded = Math.max(MIN_WAIT_NANOS, Math.min(MAX_WAIT_NANOS, (long) nanos));
        return Duration.ofNanos(bounded);
    }
}

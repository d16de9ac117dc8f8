package coriandersill.admission;

import java.time.Duration;

/** Estimates from the recent pace of departures how long a queue takes. */
final class WaitForecast {
    private static final double SMOOTHING = 0.1;
    private static final long LEAST_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MOST_NANOS = Duration.ofSeconds(10).toNanos();

    private double intervalNanos = LEAST_NANOS;
    private long lastNanos;
    private boolean any;

    void left(long nowNanos) {
        if (any) {
            intervalNanos += SMOOTHING * (nowNanos - lastNanos - intervalNanos);
        }
        lastNanos = nowNanos;
        any = true;
    }

    Duration waitBehind(int waiting) {
        double nanos = intervalNanos * (waiting + 1);
        long bounded = Math.max(LEAST_NANOS, Math.min(MOST_NANOS, (long) nanos));
        return Duration.ofNanos(bounded);
    }
}

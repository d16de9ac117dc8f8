package coriandersill.sharedlog;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter.
 *
 * @param initialDelay the longest delay after the first failure
 * @param maxDelay the longest delay of all
 */
public record Backoff(Duration initialDelay, Duration maxDelay) {
    private static final int MAX_DOUBLINGS = 30;

    /** Refuses null, a first delay of zero or less, and a maximum below the first delay. */
    public Backoff {
        Objects.requireNonNull(maxDelay, "max");
        if (initialDelay.isNegative() || initialDelay.isZero() || maxDelay.compareTo(initialDelay) < 0) {
            throw new IllegalArgumentException(
                    "backoff: expected 0 < first <= max, found " + initialDelay + " and " + maxDelay);
        }
    }

    /** Returns the delays for clients of the platform: 100 ms to 5 s. */
    public static Backoff standard() {
        return new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5));
    }

    /** Returns the delay after {@code failures} failures in a row, from half of its bound up to the bound. */
    public Duration delay(int failures, RandomGenerator random) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        double bound = Math.min((double) maxDelay.toNanos(), (double) initialDelay.toNanos() * Math.pow(2, doublings));
        return Duration.ofNanos((long) (bound * (0.5 + random.nextDouble() / 2)));
    }
}

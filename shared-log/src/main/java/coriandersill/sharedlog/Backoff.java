package coriandersill.sharedlog;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter.
 *
 * @param initialDelay the upper bound of the delay after the first failure
 * @param maxDelay the upper bound of every delay
 */
public record Backoff(Duration initialDelay, Duration maxDelay) {
    private static final int MAX_DOUBLINGS = 30;

    /** Checks that no component is null, and that {@code 0 < initialDelay <= maxDelay}. */
    public Backoff {
        Objects.requireNonNull(maxDelay, "maxDelay");
        if (initialDelay.isNegative() || initialDelay.isZero() || maxDelay.compareTo(initialDelay) < 0) {
            throw new IllegalArgumentException(
                    "backoff: expected 0 < initialDelay <= maxDelay, found " + initialDelay + " and " + maxDelay);
        }
    }

    /** Returns the default backoff of clients of the platform: 100 ms to 5 s. */
    public static Backoff standard() {
        return new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5));
    }

    /**
     * Returns the delay after {@code failures} consecutive failures: a random value between half of its upper bound and
     * the bound.
     */
    public Duration delay(int failures, RandomGenerator random) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        double bound = Math.min((double) maxDelay.toNanos(), (double) initialDelay.toNanos() * Math.pow(2, doublings));
        return Duration.ofNanos((long) (bound * (0.5 + random.nextDouble() / 2)));
    }
}

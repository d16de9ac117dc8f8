package coriandersill.core;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that advances only when told to, for tests and simulations in virtual time.
 *
 * <pre>{@code
 * ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
 * clock.advance(Duration.ofMillis(5));
 * }</pre>
 *
 * <p>This class is thread-safe.
 */
public final class ManualClock implements MonotonicClock, InstantSource {
    private final Instant origin;
    private final AtomicLong nanos = new AtomicLong();

    private ManualClock(Instant origin) {
        this.origin = origin;
    }

    /** Returns a clock whose current time is {@code origin}. */
    public static ManualClock startingAt(Instant origin) {
        return new ManualClock(origin);
    }

    /** Advances the clock; throws {@link IllegalArgumentException} if {@code step} is negative. */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("step: expected zero or more, found " + step);
        }
        nanos.addAndGet(step.toNanos());
    }

    @Override
    public long nanos() {
        return nanos.get();
    }

    @Override
    public Instant instant() {
        return origin.plusNanos(nanos.get());
    }
}

package coriandersill.duties;

import coriandersill.core.MonotonicClock;
import java.time.Duration;

/**
 * Spaces the holder's calls within its share of the rate that the receiver allows to all entries, and further apart
 * while the receiver refuses or does not answer. Not thread-safe.
 */
public final class CallPacer {
    /** The part of the permitted rate that a holder uses; the rest is for the holder before it, within one second. */
    private static final double RATE_FRACTION = 0.5;

    private static final Duration MIN_BACKOFF = Duration.ofMillis(250);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final long spacingNanos;
    private long backoffNanos = MIN_BACKOFF.toNanos();
    private long notBeforeNanos;

    private CallPacer(MonotonicClock clock, long spacingNanos) {
        this.clock = clock;
        this.spacingNanos = spacingNanos;
        this.notBeforeNanos = clock.nanos();
    }

    /** Returns a pacer; {@code callsPerSecond} is the rate permitted to all entries together, above 0. */
    public static CallPacer create(MonotonicClock clock, double callsPerSecond) {
        double spacingSeconds = 1 / (callsPerSecond * RATE_FRACTION);
        return new CallPacer(clock, (long) (Math.min(spacingSeconds, 3_600) * 1e9));
    }

    /** Returns whether a call may be sent now. */
    public boolean permits() {
        return clock.nanos() - notBeforeNanos >= 0;
    }

    /** Records that a call is sent. */
    public void sent() {
        notBeforeNanos = clock.nanos() + spacingNanos;
    }

    /** Records that the receiver accepted a call. */
    public void accepted() {
        backoffNanos = MIN_BACKOFF.toNanos();
    }

    /** Records that a call was refused, not answered or answered without sense. */
    public void failed() {
        notBeforeNanos = Math.max(notBeforeNanos, clock.nanos() + backoffNanos);
        backoffNanos = Math.min(2 * backoffNanos, MAX_BACKOFF.toNanos());
    }
}

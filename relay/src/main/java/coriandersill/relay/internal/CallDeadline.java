package coriandersill.relay.internal;

import coriandersill.core.MonotonicClock;
import java.time.Duration;

/**
 * The time that one call has taken and has left, and the timer that ends it. The timer is confined to the Vert.x
 * context of the call; the times may be read from any thread.
 */
final class CallDeadline {
    /** How long before its deadline a call fails, so that the response reaches the caller in time. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(10);

    private final MonotonicClock clock;
    private final long arrivedAtNanos;
    private final Duration timeLimit;
    private long timer;

    /**
     * Creates the deadline of a call.
     *
     * @param arrivedAtNanos when the call arrived, by {@code clock}
     * @param timeLimit the time from then to the deadline
     */
    CallDeadline(MonotonicClock clock, long arrivedAtNanos, Duration timeLimit) {
        this.clock = clock;
        this.arrivedAtNanos = arrivedAtNanos;
        this.timeLimit = timeLimit;
    }

    /** Starts the timer, which runs {@code onExpired} shortly before the deadline unless the call has ended. */
    void start(CallSteps steps, Runnable onExpired) {
        timer = steps.runLater(timeLeft().minus(RESPONSE_MARGIN).toMillis(), onExpired);
    }

    /** Cancels the timer. */
    void cancel(CallSteps steps) {
        steps.cancel(timer);
    }

    /** Returns the time since the call arrived, in nanoseconds. */
    long elapsedNanos() {
        return clock.nanos() - arrivedAtNanos;
    }

    /** Returns the time since the call arrived, in milliseconds. */
    long elapsedMillis() {
        return Duration.ofNanos(elapsedNanos()).toMillis();
    }

    /** Returns the time left until the call's deadline; zero if it is over. */
    Duration timeLeft() {
        Duration left = timeLimit.minusNanos(elapsedNanos());
        return left.isNegative() ? Duration.ZERO : left;
    }
}

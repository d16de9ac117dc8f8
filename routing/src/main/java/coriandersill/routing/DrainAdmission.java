package coriandersill.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Decides whether a process that stops still accepts a call. A call surely ends before the stop if its time limit is
 * over by then; it probably does if those of its route lately did in much less time. The caller of any other is better
 * served by another process at once. Stateless.
 */
public final class DrainAdmission {
    /** The time that a busy engine takes to prefill a long prompt. */
    private static final Duration PREFILL_TIME = Duration.ofMillis(1_500);

    /** The time that a busy engine takes for an output token. */
    private static final Duration TIME_PER_OUTPUT_TOKEN = Duration.ofMillis(15);

    /** A call may take this many times as long as the slowest recent one of its route, in tenths. */
    private static final int SLOWEST_FACTOR_TENTHS = 15;

    private DrainAdmission() {}

    /**
     * A call that arrives while the process stops.
     *
     * @param timeLimit the time after which the call fails if it has not ended
     * @param maxOutputTokens the maximum number of output tokens of a generation; empty for other calls
     * @param slowestRecent the time that the slowest recent call of the same route took, or has taken so far, its wait
     *     for an engine included; empty if there was none
     */
    public record DrainingCall(Duration timeLimit, OptionalInt maxOutputTokens, Optional<Duration> slowestRecent) {}

    /** Returns whether a call that arrives {@code timeLeft} before the stop ends before it whatever happens. */
    public static boolean surelyEnds(DrainingCall call, Duration timeLeft) {
        return call.timeLimit().compareTo(timeLeft) < 0;
    }

    /** Returns whether a call that arrives {@code timeLeft} before the stop can be expected to end before it. */
    public static boolean probablyEnds(DrainingCall call, Duration timeLeft) {
        return surelyEnds(call, timeLeft)
                || expectedTime(call)
                        .filter(time -> time.compareTo(timeLeft) < 0)
                        .isPresent();
    }

    /** Returns the time that a generation takes at the most, as far as can be told; empty for other calls. */
    private static Optional<Duration> expectedTime(DrainingCall call) {
        if (call.maxOutputTokens().isEmpty()) {
            return Optional.empty();
        }
        Duration ofSize = PREFILL_TIME.plus(
                TIME_PER_OUTPUT_TOKEN.multipliedBy(call.maxOutputTokens().getAsInt()));
        Duration ofRoute = call.slowestRecent()
                .map(slowest -> slowest.multipliedBy(SLOWEST_FACTOR_TENTHS).dividedBy(10))
                .orElse(Duration.ZERO);
        return Optional.of(ofSize.compareTo(ofRoute) > 0 ? ofSize : ofRoute);
    }
}

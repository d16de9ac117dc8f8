package coriandersill.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Which calls a {@link LoadGenerator} makes.
 *
 * @param kinds the kinds to draw from
 * @param intervalMillis the time between two calls
 * @param timeouts the deadlines by kind
 */
record CallPattern(List<CallKind> kinds, long intervalMillis, Map<CallKind, Duration> timeouts) {
    private static final Duration PLAIN_TIMEOUT = Duration.ofMillis(900);

    /** Many calls of all kinds. */
    static final CallPattern MIXED =
            new CallPattern(List.of(CallKind.values()), 12, timeouts(Duration.ofSeconds(4), Duration.ofSeconds(4)));

    /** Fewer calls, mostly streams that have time to move several times. */
    static final CallPattern LONG_STREAMS = new CallPattern(
            List.of(
                    CallKind.DRAFT,
                    CallKind.DRAFT,
                    CallKind.DRAFT,
                    CallKind.DRAFT,
                    CallKind.TAG,
                    CallKind.LOOK,
                    CallKind.BOOK),
            60,
            timeouts(Duration.ofSeconds(12), CallKind.TAG.maxAnswerTime()));

    private static Map<CallKind, Duration> timeouts(Duration draftTimeout, Duration tagTimeout) {
        return Map.of(
                CallKind.BOOK, PLAIN_TIMEOUT,
                CallKind.LOOK, PLAIN_TIMEOUT,
                CallKind.DRAFT, draftTimeout,
                CallKind.TAG, tagTimeout);
    }

    /** Returns the deadline of a call. */
    Duration timeout(CallKind kind) {
        return timeouts.get(kind);
    }

    /** Returns the longest deadline. */
    Duration longestTimeout() {
        return timeouts.values().stream().max(Duration::compareTo).orElseThrow();
    }
}

package coriandersill.routing;

import coriandersill.core.CallFailure;
import java.time.Duration;

/** What follows a failed attempt. */
public sealed interface RetryDecision {

    /**
     * Another attempt at another upstream.
     *
     * @param delay how long to wait before it
     */
    record Retry(Duration delay) implements RetryDecision {}

    /**
     * No further attempt.
     *
     * @param reason why, for the log
     * @param answer what the caller is told: the last failure, which says "not run" only if no attempt ran
     */
    record GiveUp(String reason, CallFailure answer) implements RetryDecision {}
}

package coriandersill.routing;

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
     * No further attempt: the failure is the answer.
     *
     * @param reason why, for the log
     */
    record GiveUp(String reason) implements RetryDecision {}
}

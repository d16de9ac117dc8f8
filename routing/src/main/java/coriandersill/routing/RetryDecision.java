package coriandersill.routing;

import coriandersill.core.CallFailure;
import java.time.Duration;

/** The decision on a failed attempt. */
public sealed interface RetryDecision {

    /**
     * Retry at another upstream.
     *
     * @param delay how long to wait before the retry
     */
    record Retry(Duration delay) implements RetryDecision {}

    /**
     * Do not retry.
     *
     * @param reason why the call is not retried, for the event log
     * @param failure the failure reported to the caller: the last one, marked as not run only if no attempt ran
     */
    record GiveUp(String reason, CallFailure failure) implements RetryDecision {}
}

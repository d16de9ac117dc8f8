package coriandersill.routing;

/** Never repeats an attempt. */
public final class NoRetry implements RetryPolicy {
    private NoRetry() {}

    /** Returns the policy. */
    public static NoRetry create() {
        return new NoRetry();
    }

    @Override
    public void callStarted() {
        // First attempts have no effect here.
    }

    @Override
    public RetryDecision decide(AttemptFailure failure) {
        return new RetryDecision.GiveUp(
                "attempts are never repeated", failure.failure().withRan(failure.ranInAnyAttempt()));
    }
}

package coriandersill.routing;

/** Never retries. */
public final class NoRetry implements RetryPolicy {
    private NoRetry() {}

    /** Creates the policy. */
    public static NoRetry create() {
        return new NoRetry();
    }

    @Override
    public void callStarted() {
        // First attempts are not counted.
    }

    @Override
    public RetryDecision decide(AttemptFailure failure) {
        return new RetryDecision.GiveUp(
                "retries are disabled", failure.failure().withRan(failure.ranInAnyAttempt()));
    }
}

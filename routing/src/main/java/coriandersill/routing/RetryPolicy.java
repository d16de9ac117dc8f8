package coriandersill.routing;

/** Decides whether to retry failed attempts. Implementations are thread-safe. */
public interface RetryPolicy {

    /** Records that the first attempt of a call has started. */
    void callStarted();

    /** Decides whether to retry after {@code failure}. */
    RetryDecision decide(AttemptFailure failure);
}

package coriandersill.routing;

/** Decides whether a failed attempt is followed by another; implementations are safe for use by many threads. */
public interface RetryPolicy {

    /** Notes that a call starts with its first attempt. */
    void callStarted();

    /** Decides what follows a failed attempt. */
    RetryDecision decide(AttemptFailure failure);
}

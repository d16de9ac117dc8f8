package coriandersill.leases;

import coriandersill.core.MonotonicClock;

/**
 * A lease as its holder sees it, judged by the holder's own clock.
 *
 * <p>The time counts from before the record was sent, and ends a margin early, so that a holder whose clock runs at the
 * log's rate has stopped before another can take over. A holder that is paused may wake later: that is what the token
 * is for.
 *
 * @param name the lease
 * @param token its fencing token, carried by each order
 * @param validUntilNanos when the holder stops, by its own monotonic clock
 */
public record HeldLease(LeaseName name, long token, long validUntilNanos) {

    /** Whether the holder may still act. */
    public boolean isValid(MonotonicClock clock) {
        return clock.nanos() - validUntilNanos < 0;
    }
}

package coriandersill.leases;

import coriandersill.core.MonotonicClock;

/**
 * A lease held by this process, with its validity by the local monotonic clock.
 *
 * <p>The validity is measured from before the record was appended and ends a margin before the end of the term, so that
 * a holder whose clock runs at the rate of the log's clock stops before another process can acquire the lease. A holder
 * that is paused may resume after that; its orders are then rejected by their fencing token.
 *
 * @param name the name of the lease
 * @param token the fencing token, which is part of each order
 * @param validUntilNanos the time, by the holder's monotonic clock, after which it must not act
 */
public record HeldLease(LeaseName name, long token, long validUntilNanos) {

    /** Whether the holder may still act under the lease. */
    public boolean isValid(MonotonicClock clock) {
        return clock.nanos() - validUntilNanos < 0;
    }
}

package coriandersill.duties;

import java.time.Duration;

/**
 * The times of the lease on the duties.
 *
 * @param lease the time within which duties must not change from one holder to another and back
 * @param margin how much before the end of its lease a holder stops, and how much after it others claim; covers the
 *     time for which a call is under way and differences between the rates of clocks
 */
public record LeaseTiming(Duration lease, Duration margin) {
    /** The margin as a divisor of the lease time; both margins together leave two thirds of a lease to act in. */
    private static final int MARGIN_DIVISOR = 6;

    /** A holder renews its lease this often within a lease time, so that one lost response does not end it. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** Returns the times for a lease time. */
    public static LeaseTiming of(Duration lease) {
        return new LeaseTiming(lease, lease.dividedBy(MARGIN_DIVISOR));
    }

    /** Returns for how long after it sent its claim or its last renewal a holder may act. */
    public Duration holdTime() {
        return lease.minus(margin);
    }

    /** Returns for how long others wait from the moment at which they first saw the last renewal. */
    public Duration waitTime() {
        return lease.plus(margin);
    }

    /** Returns the time between renewals. */
    public Duration renewalInterval() {
        return lease.dividedBy(RENEWALS_PER_LEASE);
    }
}

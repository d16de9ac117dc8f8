package coriandersill.leases;

import java.time.Duration;

/** One record of the stream of leases. */
public sealed interface LeaseRecord {

    /** The lease. */
    LeaseName name();

    /** Who appended the record. */
    LeaseHolder holder();

    /**
     * Asks for the lease; won when nobody holds it at the log's time of the record.
     *
     * @param name the lease
     * @param holder who asks
     * @param term for how long it is held, by the log's clock
     * @param sequence the number of the holder's record, by which it knows when it sent this one
     */
    record Acquire(LeaseName name, LeaseHolder holder, Duration term, long sequence) implements LeaseRecord {}

    /**
     * Prolongs the lease from the log's time of the record, unless the lease has lapsed.
     *
     * @param name the lease
     * @param holder who holds it
     * @param token its fencing token
     * @param term for how long it is held
     * @param sequence the number of the holder's record
     */
    record Renew(LeaseName name, LeaseHolder holder, long token, Duration term, long sequence) implements LeaseRecord {}

    /**
     * Gives the lease back.
     *
     * @param name the lease
     * @param holder who holds it
     * @param token its fencing token
     */
    record Release(LeaseName name, LeaseHolder holder, long token) implements LeaseRecord {}
}

package coriandersill.leases;

import java.time.Duration;

/** A record of the leases stream. */
public sealed interface LeaseRecord {

    /** The name of the lease. */
    LeaseName name();

    /** The process that appended the record. */
    LeaseHolder holder();

    /**
     * Requests the lease, which is granted if it is free at the log's time of the record.
     *
     * @param name the name of the lease
     * @param holder the process that requests the lease
     * @param term the duration of the lease by the log's clock
     * @param sequence the sequence number of the record, from which the holder knows when it appended the record
     */
    record Acquire(LeaseName name, LeaseHolder holder, Duration term, long sequence) implements LeaseRecord {}

    /**
     * Renews the lease from the log's time of the record, unless the lease has expired.
     *
     * @param name the name of the lease
     * @param holder the holder
     * @param token the fencing token
     * @param term the duration of the lease by the log's clock
     * @param sequence the sequence number of the record
     */
    record Renew(LeaseName name, LeaseHolder holder, long token, Duration term, long sequence) implements LeaseRecord {}

    /**
     * Releases the lease.
     *
     * @param name the name of the lease
     * @param holder the holder
     * @param token the fencing token
     */
    record Release(LeaseName name, LeaseHolder holder, long token) implements LeaseRecord {}
}

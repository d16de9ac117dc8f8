package coriandersill.leases;

/** The effect of applying a record of the leases stream. */
public sealed interface LeaseEffect {

    /**
     * The holder of the record has acquired the lease.
     *
     * @param lease the lease
     */
    record Won(Lease lease) implements LeaseEffect {}

    /**
     * The holder has renewed the lease.
     *
     * @param lease the lease
     */
    record Renewed(Lease lease) implements LeaseEffect {}

    /**
     * The holder has released the lease.
     *
     * @param lease the lease before the release
     */
    record Released(Lease lease) implements LeaseEffect {}

    /**
     * The record was refused, or this reader cannot decide whether it succeeded.
     *
     * @param record the record
     */
    record Refused(LeaseRecord record) implements LeaseEffect {}
}

package coriandersill.leases;

/** What a record of the stream of leases brought about. */
public sealed interface LeaseEffect {

    /**
     * The record's holder has won the lease.
     *
     * @param lease the lease
     */
    record Won(Lease lease) implements LeaseEffect {}

    /**
     * The holder has prolonged the lease.
     *
     * @param lease the lease
     */
    record Renewed(Lease lease) implements LeaseEffect {}

    /**
     * The holder has given the lease back.
     *
     * @param lease the lease that was
     */
    record Released(Lease lease) implements LeaseEffect {}

    /**
     * The record changed nothing.
     *
     * @param record the record
     */
    record Refused(LeaseRecord record) implements LeaseEffect {}
}

package coriandersill.rollout.log;

import java.util.OptionalLong;

/** A view of the leases held by this process. */
@FunctionalInterface
public interface LeaseView {

    /** Returns the fencing token of a lease held by this process; empty if it does not hold the lease. */
    OptionalLong fencingToken(String lease);
}

package coriandersill.rollout.log;

import java.util.OptionalLong;

/** What this process holds of leases. */
@FunctionalInterface
public interface LeaseView {

    /** Returns the fencing token under which this process holds a lease now; empty when it does not hold it. */
    OptionalLong token(String lease);
}

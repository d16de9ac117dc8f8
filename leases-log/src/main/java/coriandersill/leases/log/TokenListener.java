package coriandersill.leases.log;

import coriandersill.leases.LeaseName;

/** Notified of the fencing token of each lease that any process acquires; used for the order gate of a sidecar. */
@FunctionalInterface
public interface TokenListener {

    /** A lease was acquired with {@code token}. */
    void onToken(LeaseName name, long token);
}

package coriandersill.leases.log;

import coriandersill.leases.HeldLease;
import coriandersill.leases.LeaseName;

/** Notified when this process acquires or loses a lease; called without any lock held, by one thread at a time. */
public interface LeaseListener {

    /** This process has acquired a lease; its orders must contain the token of the lease. */
    void onWon(HeldLease lease);

    /** This process no longer holds the lease. */
    void onLost(LeaseName name);
}

package coriandersill.leases.log;

import coriandersill.leases.HeldLease;
import coriandersill.leases.LeaseName;

/** Hears of the leases that this process wins and loses; called under no lock, by one thread at a time. */
public interface LeaseListener {

    /** This process holds a lease, whose token its orders carry. */
    void onWon(HeldLease lease);

    /** This process no longer holds a lease. */
    void onLost(LeaseName name);
}

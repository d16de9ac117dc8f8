package coriandersill.leases.log;

import coriandersill.leases.HeldLease;
import coriandersill.leases.LeaseName;

/**
 * Notified when this process acquires or loses a lease.
 *
 * <p>The lease service holds no lock during a call. Calls can come from several threads and overlap: those of
 * {@link #onWon} from the executor, those of {@link #onLost} from the executor, the scheduler or the thread that
 * resigns.
 */
public interface LeaseListener {

    /** This process has acquired a lease; its orders must contain the token of the lease. */
    void onWon(HeldLease lease);

    /** This process no longer holds the lease, because it expired, was taken over or was resigned. */
    void onLost(LeaseName name);
}

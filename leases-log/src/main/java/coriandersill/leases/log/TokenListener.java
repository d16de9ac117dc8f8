package coriandersill.leases.log;

import coriandersill.leases.LeaseName;

/** Hears the fencing token of each lease that anybody wins, as a sidecar's order gate needs to. */
@FunctionalInterface
public interface TokenListener {

    /** A lease was won with {@code token}. */
    void onToken(LeaseName name, long token);
}

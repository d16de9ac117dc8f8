package coriandersill.leases;

import java.time.Instant;

/**
 * A lease that has a holder.
 *
 * @param name the name of the lease
 * @param holder the holder
 * @param token the fencing token, which is the offset of the record that acquired the lease, so that it does not
 *     restart when the lease is released and acquired again
 * @param expiresAt the expiry time by the log's clock
 */
public record Lease(LeaseName name, LeaseHolder holder, long token, Instant expiresAt) {}

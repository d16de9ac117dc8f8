package coriandersill.leases;

import java.time.Instant;

/**
 * A lease that was won.
 *
 * @param name the lease
 * @param holder who won it
 * @param token its fencing token: the offset of the record that won it, so that it never restarts
 * @param expiresAt when it lapses, by the log's clock
 */
public record Lease(LeaseName name, LeaseHolder holder, long token, Instant expiresAt) {}

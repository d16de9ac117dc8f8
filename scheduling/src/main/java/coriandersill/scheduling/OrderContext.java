package coriandersill.scheduling;

/**
 * What the order of requests depends on besides the requests themselves.
 *
 * @param nowNanos the current time of the monotonic clock
 * @param sinceOldest the number of dispatches since the request that had waited longest was dispatched
 * @param usage what each workspace has used lately
 */
public record OrderContext(long nowNanos, long sinceOldest, WorkspaceUsage usage) {}

package coriandersill.experiment;

import coriandersill.core.WorkspaceName;

/**
 * One request of a workload.
 *
 * @param timeNanos the virtual time at which it reaches an entry
 * @param entry the index of the entry that the load balancer selects
 * @param workspace the workspace that sends it
 * @param weight the workspace's weight in the fair sharing of an engine
 * @param maxTokens the maximum number of output tokens that the caller allows
 * @param request the request as submitted to an engine
 */
public record Arrival(
        long timeNanos, int entry, WorkspaceName workspace, double weight, int maxTokens, EngineRequest request) {

    /** Returns a copy of this request that arrives at another time. */
    Arrival withTimeNanos(long nanos) {
        return new Arrival(nanos, entry, workspace, weight, maxTokens, request);
    }
}

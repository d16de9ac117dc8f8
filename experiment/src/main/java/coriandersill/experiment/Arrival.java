package coriandersill.experiment;

import coriandersill.core.WorkspaceName;

/**
 * One request of a workload.
 *
 * @param atNanos when it reaches an entry
 * @param entry which entry the balancer gives it to
 * @param workspace whose it is
 * @param weight the workspace's weight
 * @param maxTokens the most tokens that the caller allows
 * @param request what the engine will be given
 */
public record Arrival(
        long atNanos, int entry, WorkspaceName workspace, double weight, int maxTokens, EngineRequest request) {

    /** Returns the same request at another time. */
    Arrival at(long nanos) {
        return new Arrival(nanos, entry, workspace, weight, maxTokens, request);
    }
}

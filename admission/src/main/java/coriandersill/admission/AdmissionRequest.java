package coriandersill.admission;

import coriandersill.core.CallId;
import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;

/**
 * A request that asks for room at one upstream.
 *
 * @param id the call
 * @param attempt the attempt, from 1
 * @param workspace whose share it counts against
 * @param weight the workspace's weight, above 0
 * @param route the route within the service
 * @param version the version that the upstream serves
 * @param promptTokens the estimated length of the prompt in tokens; 0 for a plain call
 * @param maxTokens the most tokens that it may generate; 0 for a plain call
 * @param priority higher goes first among equals of one workspace
 * @param deadlineNanos when waiting ends, by the controller's monotonic clock
 */
public record AdmissionRequest(
        CallId id,
        int attempt,
        WorkspaceName workspace,
        double weight,
        RouteName route,
        VersionName version,
        int promptTokens,
        int maxTokens,
        int priority,
        long deadlineNanos) {}

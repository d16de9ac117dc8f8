package coriandersill.admission;

import coriandersill.core.CallId;
import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;

/**
 * A request for admission to one upstream.
 *
 * @param id the call
 * @param attempt the number of the attempt, starting at 1
 * @param workspace the workspace whose share the request counts against
 * @param weight the workspace's weight, above 0
 * @param route the route within the service
 * @param version the version served by the upstream
 * @param promptTokens the estimated length of the prompt in tokens; 0 for a plain call
 * @param maxTokens the maximum number of tokens to generate; 0 for a plain call
 * @param priority requests of one workspace with a higher priority are admitted first
 * @param deadlineNanos the deadline, as a time of the controller's monotonic clock
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

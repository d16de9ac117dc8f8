package coriandersill.entry.internal;

import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallId;
import coriandersill.core.RouteName;
import coriandersill.wire.Message;

/**
 * What is to be done for one call, decided once before its first attempt.
 *
 * @param id the call
 * @param workspace whose call it is
 * @param service the service
 * @param route the route within the service
 * @param work the request for the upstream
 * @param repeatable whether the call may run more than once
 * @param hash a hash of the session or prefix, by which versions and caches are chosen
 * @param promptTokens the estimated length of the prompt in tokens
 * @param maxTokens the most tokens it may generate
 * @param deadlineNanos when the first token or the answer is due, by the entry's monotonic clock
 */
record CallPlan(
        CallId id,
        WorkspaceDocument workspace,
        ServiceDocument service,
        RouteName route,
        Message.UpstreamRequest work,
        boolean repeatable,
        long hash,
        int promptTokens,
        int maxTokens,
        long deadlineNanos) {
    private static final int EXPECTED_TOKENS = 512;

    /** The engine memory that the call is expected to hold, in tokens; 0 for a plain call. */
    int predictedTokens() {
        return promptTokens + Math.min(maxTokens, EXPECTED_TOKENS);
    }
}

package coriandersill.entry.internal;

import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallId;
import coriandersill.core.RouteName;
import coriandersill.quarantine.CallTraits;
import coriandersill.wire.Message;

/**
 * The parameters of one call, determined once before its first attempt.
 *
 * @param id the id of the call
 * @param workspace the workspace of the caller
 * @param service the service
 * @param route the route within the service
 * @param upstreamRequest the request for the upstream
 * @param repeatable whether the call may run more than once
 * @param affinityHash a hash of the session or prompt prefix, or of the workspace for a plain call; for version
 *     selection and cache affinity
 * @param promptTokens the estimated length of the prompt in tokens
 * @param maxTokens the maximum number of tokens to generate
 * @param traits what the call has in common with others: its workspace and the shared parts of its prompt
 * @param deadlineNanos the deadline of the first token or the response, by the entry's monotonic clock
 */
record CallPlan(
        CallId id,
        WorkspaceDocument workspace,
        ServiceDocument service,
        RouteName route,
        Message.UpstreamRequest upstreamRequest,
        boolean repeatable,
        long affinityHash,
        int promptTokens,
        int maxTokens,
        CallTraits traits,
        long deadlineNanos) {
    private static final int MAX_PREDICTED_OUTPUT_TOKENS = 512;

    /**
     * Returns the engine memory that the call is expected to use, in tokens; 0 for a plain call. The prediction counts
     * at most {@link #MAX_PREDICTED_OUTPUT_TOKENS} output tokens, even if the call may generate more.
     */
    int predictedTokens() {
        return promptTokens + Math.min(maxTokens, MAX_PREDICTED_OUTPUT_TOKENS);
    }
}

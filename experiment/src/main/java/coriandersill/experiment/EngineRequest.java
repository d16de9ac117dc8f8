package coriandersill.experiment;

import coriandersill.core.CallId;

/**
 * A generation request as submitted to an engine.
 *
 * @param id the id of the call
 * @param promptTokens the length of the prompt, at least 1
 * @param prefix identifies the prompt prefix shared with other requests; 0 for none
 * @param prefixTokens the length of that prefix
 * @param outputTokens the number of tokens that will be generated, at least 1; not known to the policies
 * @param priority the priority; generations of lower priority are preempted first
 */
public record EngineRequest(
        CallId id, int promptTokens, long prefix, int prefixTokens, int outputTokens, int priority) {}

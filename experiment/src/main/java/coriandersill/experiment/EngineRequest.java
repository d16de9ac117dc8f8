package coriandersill.experiment;

import coriandersill.core.CallId;

/**
 * A generation as the engine sees it.
 *
 * @param id the call
 * @param promptTokens the length of the prompt, 1 or more
 * @param prefix the leading part that other prompts share; 0 for none
 * @param prefixTokens the length of that part
 * @param outputTokens the tokens it will generate, 1 or more, unknown to every policy
 * @param priority lower ones are preempted first
 */
public record EngineRequest(
        CallId id, int promptTokens, long prefix, int prefixTokens, int outputTokens, int priority) {}

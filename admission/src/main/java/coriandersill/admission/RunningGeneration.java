package coriandersill.admission;

import coriandersill.core.CallId;

/**
 * An admitted generation, as a choice between victims sees it.
 *
 * @param id the call
 * @param priority its priority
 * @param generated tokens generated so far
 * @param heldTokens memory that it holds, in tokens
 */
public record RunningGeneration(CallId id, int priority, int generated, long heldTokens) {}

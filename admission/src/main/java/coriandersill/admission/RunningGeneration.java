package coriandersill.admission;

import coriandersill.core.CallId;

/**
 * An admitted generation, as input to the choice of a victim.
 *
 * @param id the call
 * @param priority the priority of its request
 * @param generatedTokens the number of tokens generated so far
 * @param heldTokens the engine memory that it holds, in tokens
 */
public record RunningGeneration(CallId id, int priority, int generatedTokens, long heldTokens) {}

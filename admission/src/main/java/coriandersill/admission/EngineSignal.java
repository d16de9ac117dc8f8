package coriandersill.admission;

/**
 * What an engine reports about itself, with a lag.
 *
 * @param preemptions generations that it has preempted since the last signal
 * @param usedTokens memory that running generations use, in tokens, without cached prefixes; below 0 where the engine
 *     does not say
 */
public record EngineSignal(int preemptions, long usedTokens) {}

package coriandersill.admission;

/**
 * Metrics reported by an engine; they arrive with a delay.
 *
 * @param preemptions the number of generations preempted since the last report
 * @param usedTokens the memory used by running generations, in tokens, excluding cached prefixes; negative if not
 *     reported
 */
public record EngineMetrics(int preemptions, long usedTokens) {}

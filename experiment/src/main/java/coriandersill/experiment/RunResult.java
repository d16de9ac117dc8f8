package coriandersill.experiment;

import coriandersill.core.Ran;

/**
 * The results of one run, for the calls that arrived in the measured period unless stated otherwise.
 *
 * @param policySet the name of the policy set
 * @param seed the seed of the run
 * @param offeredTokensPerSecond requested output tokens per second
 * @param goodputTokensPerSecond output tokens per second of completed calls whose first token arrived within 1.6 s
 * @param answered the number of completed calls
 * @param refused the number of calls that failed with {@link Ran#NO}
 * @param broken the number of calls that failed with any other value of {@link Ran}, such as interrupted generations
 * @param falseRefusals the number of calls, in the whole run, that failed with {@link Ran#NO} although an attempt had
 *     been submitted to an engine
 * @param stallSeconds the sum of the times by which gaps between tokens exceed 69 ms
 * @param preemptions the number of preemptions of sequences from the end of the warm-up to the end of the run, whatever
 *     the arrival time of their calls
 * @param coldViolations how often a cold engine received more requests than it can hold, in the whole run
 * @param firstToken time to the first token, with the delays between client and entry and from entry to sidecar but not
 *     the delay from sidecar to entry
 * @param betweenTokens time between tokens
 * @param betweenTokensOtherWorkspaces time between tokens of all workspaces except the flooding one
 * @param firstTokenOtherWorkspaces time to the first token of all workspaces except the flooding one
 * @param attempts the total number of attempts of the answered, refused and broken calls
 */
public record RunResult(
        String policySet,
        long seed,
        double offeredTokensPerSecond,
        double goodputTokensPerSecond,
        long answered,
        long refused,
        long broken,
        long falseRefusals,
        double stallSeconds,
        long preemptions,
        long coldViolations,
        Percentiles firstToken,
        Percentiles betweenTokens,
        Percentiles betweenTokensOtherWorkspaces,
        Percentiles firstTokenOtherWorkspaces,
        long attempts) {

    /**
     * Percentiles of a duration in milliseconds.
     *
     * @param p50 the median
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     */
    public record Percentiles(double p50, double p95, double p99) {}
}

package coriandersill.experiment;

/**
 * The results of one run for the calls that arrived in the measured period.
 *
 * @param policies the name of the policy set
 * @param seed the seed of the run
 * @param offered requested output tokens per second
 * @param goodput output tokens per second of completed calls whose first token arrived within 1.6 s
 * @param answered the number of completed calls
 * @param refused the number of calls that failed with the statement that they did not run
 * @param broken the number of calls that were interrupted or failed otherwise
 * @param falseRefusals calls, in the whole run, that failed with the statement that they did not run although they had
 *     been submitted to an engine
 * @param stallSeconds the sum of the times by which gaps between tokens exceed 69 ms
 * @param preemptions the number of sequences that engines preempted after the warm-up
 * @param coldViolations how often a cold engine received more requests than it can hold, in the whole run
 * @param firstToken time to the first token at the caller
 * @param betweenTokens time between tokens
 * @param betweenTokensOthers time between tokens of all workspaces except the one that may flood
 * @param firstTokenOthers time to the first token of all workspaces except the one that may flood
 * @param attempts the total number of attempts
 */
public record RunResult(
        String policies,
        long seed,
        double offered,
        double goodput,
        long answered,
        long refused,
        long broken,
        long falseRefusals,
        double stallSeconds,
        long preemptions,
        long coldViolations,
        Percentiles firstToken,
        Percentiles betweenTokens,
        Percentiles betweenTokensOthers,
        Percentiles firstTokenOthers,
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

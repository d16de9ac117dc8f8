package coriandersill.experiment;

/**
 * What one run showed of the calls that arrived in the measured time.
 *
 * @param policies the policies that were in force
 * @param seed the seed of the run
 * @param offered tokens a second that callers asked for
 * @param goodput tokens a second of calls that ended whole and began within 1.6 s
 * @param answered calls that ended whole
 * @param refused calls that were answered with "not run"
 * @param broken calls that broke off or failed otherwise
 * @param falseRefusals refusals of calls that an engine had been given
 * @param stallSeconds the sum over all times between tokens of what exceeds 69 ms
 * @param preemptions sequences that engines preempted after the warm-up
 * @param coldViolations cold engines that were given more than they bear
 * @param firstToken time to the first token at the caller
 * @param between time between tokens
 * @param betweenOthers the same without the workspace that may flood
 * @param firstTokenOthers time to the first token without the workspace that may flood
 * @param attempts attempts of all calls
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
        Percentiles between,
        Percentiles betweenOthers,
        Percentiles firstTokenOthers,
        long attempts) {

    /**
     * Percentiles in milliseconds.
     *
     * @param p50 the median
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     */
    public record Percentiles(double p50, double p95, double p99) {}
}

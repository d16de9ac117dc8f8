package coriandersill.experiment;

import java.time.Duration;

/**
 * The parameters of a generated workload.
 *
 * @param requestsPerSecond the mean request rate, including bursts
 * @param duration the time during which requests arrive
 * @param entries the number of entries that requests are distributed over
 * @param workspaces the number of workspaces; the first three send half of the traffic
 * @param medianOutputTokens the median output length in tokens
 * @param outputSigma the standard deviation of the logarithm of the output length
 * @param burstFactor the factor by which a burst raises the rate; 1 for no bursts
 * @param secondHalfOutputFactor the factor by which the outputs of the first workspace are longer in the second half of
 *     the duration; 1 for none
 * @param floodFactor the factor by which the fourth workspace exceeds its usual rate; 1 for no flood
 */
public record WorkloadSpec(
        double requestsPerSecond,
        Duration duration,
        int entries,
        int workspaces,
        double medianOutputTokens,
        double outputSigma,
        double burstFactor,
        double secondHalfOutputFactor,
        double floodFactor) {

    /**
     * Returns the standard workload: 10 workspaces at 3 entries, heavy-tailed outputs with a median of 110 tokens,
     * bursts at 1.6 times the usual rate, outputs of the first workspace that are 1.5 times as long in the second half,
     * and no flood.
     */
    public static WorkloadSpec standard(double requestsPerSecond, Duration duration) {
        return new WorkloadSpec(requestsPerSecond, duration, 3, 10, 110, 1.1, 1.6, 1.5, 1);
    }

    /** Returns a copy with another request rate. */
    public WorkloadSpec withRate(double rate) {
        return new WorkloadSpec(
                rate,
                duration,
                entries,
                workspaces,
                medianOutputTokens,
                outputSigma,
                burstFactor,
                secondHalfOutputFactor,
                floodFactor);
    }

    /** Returns a copy with another duration. */
    public WorkloadSpec withDuration(Duration other) {
        return new WorkloadSpec(
                requestsPerSecond,
                other,
                entries,
                workspaces,
                medianOutputTokens,
                outputSigma,
                burstFactor,
                secondHalfOutputFactor,
                floodFactor);
    }

    /** Returns a copy in which the fourth workspace exceeds its usual rate by this factor. */
    public WorkloadSpec withFlood(double factor) {
        return new WorkloadSpec(
                requestsPerSecond,
                duration,
                entries,
                workspaces,
                medianOutputTokens,
                outputSigma,
                burstFactor,
                secondHalfOutputFactor,
                factor);
    }
}

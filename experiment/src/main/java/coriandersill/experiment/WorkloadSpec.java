package coriandersill.experiment;

import java.time.Duration;

/**
 * What a generated workload looks like.
 *
 * @param requestsPerSecond the mean rate, bursts included
 * @param duration how long requests arrive
 * @param entries the entries that requests are spread over
 * @param workspaces the number of workspaces; the first three have half of the traffic
 * @param medianOutput the median output length in tokens
 * @param outputSigma the spread of the logarithm of the output length
 * @param burstFactor how much the rate rises in a burst; 1 for none
 * @param shiftFactor how much longer the largest workspace writes in the second half; 1 for no shift
 * @param floodFactor how many times its usual rate the fourth workspace sends; 1 for no flood
 */
public record WorkloadSpec(
        double requestsPerSecond,
        Duration duration,
        int entries,
        int workspaces,
        double medianOutput,
        double outputSigma,
        double burstFactor,
        double shiftFactor,
        double floodFactor) {

    /** Returns the usual workload: heavy-tailed outputs, bursts, one workspace that shifts, none that floods. */
    public static WorkloadSpec standard(double requestsPerSecond, Duration duration) {
        return new WorkloadSpec(requestsPerSecond, duration, 3, 10, 110, 1.1, 1.6, 1.5, 1);
    }

    /** Returns the same with another rate. */
    public WorkloadSpec withRate(double rate) {
        return new WorkloadSpec(
                rate, duration, entries, workspaces, medianOutput, outputSigma, burstFactor, shiftFactor, floodFactor);
    }

    /** Returns the same over another time. */
    public WorkloadSpec withDuration(Duration other) {
        return new WorkloadSpec(
                requestsPerSecond,
                other,
                entries,
                workspaces,
                medianOutput,
                outputSigma,
                burstFactor,
                shiftFactor,
                floodFactor);
    }

    /** Returns the same with a flood by the fourth workspace. */
    public WorkloadSpec withFlood(double factor) {
        return new WorkloadSpec(
                requestsPerSecond,
                duration,
                entries,
                workspaces,
                medianOutput,
                outputSigma,
                burstFactor,
                shiftFactor,
                factor);
    }
}

package coriandersill.routing;

import java.time.Duration;

/**
 * Controls when {@link RouteOutlierDetector} ejects an upstream and how an ejected one recovers.
 *
 * @param minCalls the decayed number of calls on the route below which an upstream is not judged, at least 1; halved
 *     for an upstream that was ejected before
 * @param errorMargin how far the error rate may exceed the median of the peers, above 0 and up to 1
 * @param latencyFactor the tolerated multiple of the median of the peers' mean latencies, above 1
 * @param halfLife the time after which the weight of a recorded call has halved
 * @param initialEjectionTime the duration of the first ejection, doubled for each consecutive one
 * @param maxEjectionTime the cap on the doubled duration
 * @param recoveryTime the time over which a recovering upstream's traffic share grows to its full share
 * @param initialRecoveryShare the fraction of its full share that a recovering upstream starts with, above 0 and up to
 *     1
 * @param maxEjectedFraction the maximum fraction of a route's upstreams ejected at the same time, from 0 to below 1;
 *     rounded down to a number of upstreams, but at least 1; never all of them are ejected
 */
public record OutlierSettings(
        double minCalls,
        double errorMargin,
        double latencyFactor,
        Duration halfLife,
        Duration initialEjectionTime,
        Duration maxEjectionTime,
        Duration recoveryTime,
        double initialRecoveryShare,
        double maxEjectedFraction) {

    /** Throws {@link IllegalArgumentException} if a number is out of range; the durations are not checked. */
    public OutlierSettings {
        if (!(minCalls >= 1 && errorMargin > 0 && errorMargin <= 1 && latencyFactor > 1)) {
            throw new IllegalArgumentException(
                    "expected minCalls >= 1, errorMargin above 0 and up to 1 and latencyFactor > 1, found " + minCalls
                            + ", " + errorMargin + " and " + latencyFactor);
        }
        if (!(initialRecoveryShare > 0
                && initialRecoveryShare <= 1
                && maxEjectedFraction >= 0
                && maxEjectedFraction < 1)) {
            throw new IllegalArgumentException(
                    "expected initialRecoveryShare above 0 and up to 1 and maxEjectedFraction from 0 to below 1, found "
                            + initialRecoveryShare + " and " + maxEjectedFraction);
        }
    }

    /**
     * Returns settings suited to calls that take seconds: at least 10 calls, an error margin of 0.25, three times the
     * latency of the peers, and 5 s for the first ejection.
     */
    public static OutlierSettings standard() {
        return new OutlierSettings(
                10,
                0.25,
                3,
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                Duration.ofMinutes(5),
                Duration.ofSeconds(20),
                0.05,
                0.34);
    }
}

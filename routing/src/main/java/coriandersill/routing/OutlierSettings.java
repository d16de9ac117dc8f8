package coriandersill.routing;

import java.time.Duration;

/**
 * When {@link RouteOutlierDetector} ejects an upstream and how it lets one return.
 *
 * @param minCalls calls on the route, counted with decay, below which nothing is concluded; 1 or more
 * @param errorMargin how far the part of failed calls may exceed the median of the peers, above 0 and up to 1
 * @param latencyFactor how many times the median of the peers' mean latency is borne, above 1
 * @param halfLife the time in which older calls come to weigh half
 * @param initialEjectionTime the length of the first ejection; every relapse doubles it
 * @param maxEjectionTime the length that doubling stops at
 * @param recoveryTime the time in which a returning upstream's share grows to the usual one
 * @param initialRecoveryShare the share that it starts with, above 0 and up to 1
 * @param maxEjectedFraction the largest part of a route's upstreams that are ejected together, from 0 to below 1
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

    /** Checks the ranges; throws {@link IllegalArgumentException}. */
    public OutlierSettings {
        if (!(minCalls >= 1 && errorMargin > 0 && errorMargin <= 1 && latencyFactor > 1)) {
            throw new IllegalArgumentException(
                    "expected minimumCalls >= 1, errorMargin from 0 to 1 and latencyFactor > 1, found " + minCalls
                            + ", " + errorMargin + " and " + latencyFactor);
        }
        if (!(initialRecoveryShare > 0
                && initialRecoveryShare <= 1
                && maxEjectedFraction >= 0
                && maxEjectedFraction < 1)) {
            throw new IllegalArgumentException(
                    "expected returnShare from 0 to 1 and largestPart from 0 to below 1, found " + initialRecoveryShare
                            + " and " + maxEjectedFraction);
        }
    }

    /** Returns settings for calls of seconds: 10 calls, a margin of 0.25, three times the latency, 5 s ejection. */
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

package coriandersill.routing;

import java.time.Duration;

/**
 * When {@link RouteOutlierDetector} ejects an upstream and how it lets one return.
 *
 * @param minimumCalls calls on the route, counted with decay, below which nothing is concluded; 1 or more
 * @param errorMargin how far the part of failed calls may exceed the median of the peers, above 0 and up to 1
 * @param latencyFactor how many times the median of the peers' mean latency is borne, above 1
 * @param decay the time in which older calls come to weigh half
 * @param firstEjection the length of the first ejection; every relapse doubles it
 * @param longestEjection the length that doubling stops at
 * @param returnTime the time in which a returning upstream's share grows to the usual one
 * @param returnShare the share that it starts with, above 0 and up to 1
 * @param largestPart the largest part of a route's upstreams that are ejected together, from 0 to below 1
 */
public record OutlierSettings(
        double minimumCalls,
        double errorMargin,
        double latencyFactor,
        Duration decay,
        Duration firstEjection,
        Duration longestEjection,
        Duration returnTime,
        double returnShare,
        double largestPart) {

    /** Checks the ranges; throws {@link IllegalArgumentException}. */
    public OutlierSettings {
        if (!(minimumCalls >= 1 && errorMargin > 0 && errorMargin <= 1 && latencyFactor > 1)) {
            throw new IllegalArgumentException(
                    "expected minimumCalls >= 1, errorMargin from 0 to 1 and latencyFactor > 1, found " + minimumCalls
                            + ", " + errorMargin + " and " + latencyFactor);
        }
        if (!(returnShare > 0 && returnShare <= 1 && largestPart >= 0 && largestPart < 1)) {
            throw new IllegalArgumentException(
                    "expected returnShare from 0 to 1 and largestPart from 0 to below 1, found " + returnShare + " and "
                            + largestPart);
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

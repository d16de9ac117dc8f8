package coriandersill.routing;

import java.time.Duration;

/**
 * How long an upstream takes for its work, in relation to the usual time of its service.
 *
 * @param relative the lasting pace: 1 for the usual time, 2 for an upstream that takes twice as long
 * @param spread the standard deviation of the relative pace from one half second to the next
 * @param age the time since the latest evidence
 * @param samples the number of half seconds with evidence; 0 if nothing is known
 */
public record EnginePace(double relative, double spread, Duration age, int samples) {
    /** The pace of an upstream of which nothing is known. */
    public static final EnginePace UNKNOWN = new EnginePace(1, 0, Duration.ZERO, 0);
}

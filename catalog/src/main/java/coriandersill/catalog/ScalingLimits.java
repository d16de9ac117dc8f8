package coriandersill.catalog;

import java.time.Duration;

/**
 * The limits within which this system sets the number of a service's upstreams.
 *
 * @param minimum the minimum number of upstreams in an availability zone
 * @param maximum the maximum number of upstreams in an availability zone
 * @param bootTime the time until a new upstream serves calls
 */
public record ScalingLimits(int minimum, int maximum, Duration bootTime) {}

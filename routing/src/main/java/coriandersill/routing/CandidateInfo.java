package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;
import java.util.Objects;

/**
 * An instance that can receive calls, as known from membership and configuration: a sidecar, or an upstream that is
 * called without one.
 *
 * @param instance the instance
 * @param zone its availability zone
 * @param version the version that it serves
 * @param limit the concurrency limit to assume until the instance reports one, at least 1
 * @param memoryTokens the engine memory to assume until the instance reports it, in tokens; 0 for a plain service
 */
public record CandidateInfo(
        InstanceId instance, AvailabilityZone zone, VersionName version, int limit, long memoryTokens) {

    /** Rejects null, a limit below 1 and negative memory. */
    public CandidateInfo {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(version, "version");
        if (limit < 1 || memoryTokens < 0) {
            throw new IllegalArgumentException(
                    "expected limit >= 1 and memoryTokens >= 0, found " + limit + " and " + memoryTokens);
        }
    }
}

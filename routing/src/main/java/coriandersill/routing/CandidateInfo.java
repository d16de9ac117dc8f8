package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;
import java.util.Objects;

/**
 * A sidecar that could take a call, as membership and configuration know it.
 *
 * @param instance the sidecar
 * @param zone its availability zone
 * @param version the version its upstream serves
 * @param limit the concurrency limit to assume until the sidecar reports one, 1 or more
 * @param memoryTokens the engine memory to assume until then, in tokens; 0 for a plain service
 */
public record CandidateInfo(
        InstanceId instance, AvailabilityZone zone, VersionName version, int limit, long memoryTokens) {

    /** Refuses null and a limit below 1. */
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

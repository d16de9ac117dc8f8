package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;

/**
 * One sidecar that could take a request, as this entry sees it.
 *
 * @param instance the sidecar
 * @param zone its availability zone
 * @param version the version its upstream serves
 * @param inFlight this entry's own calls that run or wait there
 * @param reservedTokens tokens that this entry predicts its own calls there to hold
 * @param reportedInFlight running calls by the sidecar's last report, all entries together; the report lags
 * @param limit the concurrency limit by the sidecar's last report, 1 or more
 * @param memoryTokens the engine memory in tokens; 0 where unknown
 */
public record Candidate(
        InstanceId instance,
        AvailabilityZone zone,
        VersionName version,
        int inFlight,
        long reservedTokens,
        int reportedInFlight,
        int limit,
        long memoryTokens) {}

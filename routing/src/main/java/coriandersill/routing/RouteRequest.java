package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.Set;

/**
 * What the choice of an upstream depends on.
 *
 * @param service the service
 * @param route the route within the service
 * @param version the version that the call is to run on
 * @param origin the availability zone of the entry
 * @param affinityHash a hash of the prompt's leading part; equal hashes share a cached prefix
 * @param promptTokens the estimated length of the prompt in tokens
 * @param excluded instances that have refused or failed this call already
 */
public record RouteRequest(
        ServiceName service,
        RouteName route,
        VersionName version,
        AvailabilityZone origin,
        long affinityHash,
        int promptTokens,
        Set<InstanceId> excluded) {

    /** Copies the set. */
    public RouteRequest {
        excluded = Set.copyOf(excluded);
    }
}

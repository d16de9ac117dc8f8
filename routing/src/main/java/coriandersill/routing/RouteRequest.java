package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.HashSet;
import java.util.Set;

/**
 * What the choice of an upstream depends on.
 *
 * @param service the service
 * @param route the route within the service
 * @param version the version that the call is to run on
 * @param origin the availability zone of the entry
 * @param affinityHash a hash of the prompt's leading part; equal hashes share a cached prefix; 0 for none
 * @param promptTokens the estimated length of the prompt in tokens
 * @param predictedTokens the engine memory that the call is predicted to hold, in tokens; 0 for a plain call
 * @param excluded instances that have refused or failed this call already
 */
public record RouteRequest(
        ServiceName service,
        RouteName route,
        VersionName version,
        AvailabilityZone origin,
        long affinityHash,
        int promptTokens,
        int predictedTokens,
        Set<InstanceId> excluded) {

    /** Copies the set. */
    public RouteRequest {
        excluded = Set.copyOf(excluded);
    }

    /** Creates a request that is predicted to hold its prompt only. */
    public RouteRequest(
            ServiceName service,
            RouteName route,
            VersionName version,
            AvailabilityZone origin,
            long affinityHash,
            int promptTokens,
            Set<InstanceId> excluded) {
        this(service, route, version, origin, affinityHash, promptTokens, promptTokens, excluded);
    }

    /** Returns the same request that also avoids {@code instance}. */
    public RouteRequest excluding(InstanceId instance) {
        Set<InstanceId> more = new HashSet<>(excluded);
        more.add(instance);
        return new RouteRequest(service, route, version, origin, affinityHash, promptTokens, predictedTokens, more);
    }
}

package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.HashSet;
import java.util.Set;

/**
 * The properties of a call that determine the choice of an upstream.
 *
 * @param service the service
 * @param route the route within the service
 * @param version the version to run the call on
 * @param origin the availability zone to stay in if possible: the entry's, or for a move that of the source engine
 * @param affinityHash a hash of the prompt's prefix; calls with equal hashes can share a cached prefix; 0 for none
 * @param promptTokens the estimated length of the prompt in tokens
 * @param predictedTokens the predicted engine memory of the call, in tokens; 0 for a plain call
 * @param excluded instances that have already refused or failed this call
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

    /** Makes a defensive copy of {@code excluded}. */
    public RouteRequest {
        excluded = Set.copyOf(excluded);
    }

    /** Creates a request whose predicted memory is its prompt alone. */
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

    /** Returns a copy of this request that also excludes {@code instance}. */
    public RouteRequest excluding(InstanceId instance) {
        Set<InstanceId> extended = new HashSet<>(excluded);
        extended.add(instance);
        return new RouteRequest(service, route, version, origin, affinityHash, promptTokens, predictedTokens, extended);
    }
}

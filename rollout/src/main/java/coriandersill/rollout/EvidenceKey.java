package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;

/**
 * Identifies the calls that an {@link EvidenceCell} counts within a window.
 *
 * @param service the service
 * @param version the version
 * @param route the route
 * @param zone the availability zone of the upstreams
 */
public record EvidenceKey(ServiceName service, VersionName version, RouteName route, AvailabilityZone zone) {}

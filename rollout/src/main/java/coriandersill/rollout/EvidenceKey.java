package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;

/**
 * What an {@link EvidenceCell} counts the calls of.
 *
 * @param service the service
 * @param version the version
 * @param route the route
 * @param zone the availability zone of the upstreams
 */
public record EvidenceKey(ServiceName service, VersionName version, RouteName route, AvailabilityZone zone) {}

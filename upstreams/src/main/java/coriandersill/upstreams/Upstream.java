package coriandersill.upstreams;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;

/**
 * One incarnation of an upstream, as it lists itself.
 *
 * @param instance its identifier
 * @param startedAtMillis when this incarnation started, in Unix milliseconds by its own clock; 0 where it does not say
 * @param service the service it belongs to
 * @param host the address it listens on
 * @param port the port it listens on
 * @param zone its availability zone
 * @param version the version of its software
 * @param slots how many calls it works on at once
 * @param leaving whether it has said that it takes no new work
 */
public record Upstream(
        InstanceId instance,
        long startedAtMillis,
        ServiceName service,
        String host,
        int port,
        AvailabilityZone zone,
        VersionName version,
        int slots,
        boolean leaving) {}

package coriandersill.upstreams;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;

/**
 * One incarnation of an upstream, as published in its listing.
 *
 * @param instance the identifier of the instance
 * @param startedAtMillis when this incarnation started, in Unix milliseconds by its own clock; 0 if unspecified
 * @param service the service it belongs to
 * @param host the address it listens on
 * @param port the port it listens on
 * @param zone the availability zone it runs in
 * @param version the version of its software
 * @param slots the number of calls it processes concurrently
 * @param leaving whether it has announced that it accepts no new work
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

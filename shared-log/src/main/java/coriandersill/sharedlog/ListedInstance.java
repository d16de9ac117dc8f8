package coriandersill.sharedlog;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.Optional;

/**
 * One item of the instance list.
 *
 * @param id the id of the instance
 * @param role {@code entry} or {@code sidecar}
 * @param zone its availability zone
 * @param host the IP address of its wire protocol listener
 * @param port the port of its wire protocol listener
 * @param leaving whether the instance is draining or about to be removed
 * @param service the service of a sidecar's upstream; empty for an entry
 * @param version the version of a sidecar's upstream; empty for an entry
 */
public record ListedInstance(
        InstanceId id,
        String role,
        AvailabilityZone zone,
        String host,
        int port,
        boolean leaving,
        Optional<ServiceName> service,
        Optional<VersionName> version) {}

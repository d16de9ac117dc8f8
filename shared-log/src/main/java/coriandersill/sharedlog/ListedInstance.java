package coriandersill.sharedlog;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.Optional;

/**
 * One line of the instance list.
 *
 * @param id the instance
 * @param role {@code entry} or {@code sidecar}
 * @param zone its availability zone
 * @param host the IP number of its wire listener
 * @param port the port of its wire listener
 * @param leaving whether the platform is about to take it away
 * @param service the service of a sidecar's upstream
 * @param version the version of a sidecar's upstream
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

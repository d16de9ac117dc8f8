package coriandersill.membership;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.Objects;
import java.util.Optional;

/**
 * A process of the system and the address at which it accepts connections.
 *
 * @param id the id of the instance
 * @param role the role of the process
 * @param zone its availability zone
 * @param host the IP address of its wire protocol listener
 * @param port the port of its wire protocol listener
 * @param service the service of a sidecar's upstream; empty for an entry
 * @param version the version of a sidecar's upstream; empty for an entry
 */
public record Member(
        InstanceId id,
        Role role,
        AvailabilityZone zone,
        String host,
        int port,
        Optional<ServiceName> service,
        Optional<VersionName> version) {

    /** Rejects null. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
    }
}

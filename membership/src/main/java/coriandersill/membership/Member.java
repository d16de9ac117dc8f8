package coriandersill.membership;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.Objects;
import java.util.Optional;

/**
 * A process of the system and where it is reached.
 *
 * @param id the instance
 * @param role what it does
 * @param zone its availability zone
 * @param host the IP number of its wire listener
 * @param port the port of its wire listener
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

    /** Refuses nulls. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
    }
}

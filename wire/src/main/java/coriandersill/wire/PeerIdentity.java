package coriandersill.wire;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;

/**
 * Who stands at the other end of a connection.
 *
 * @param instance the process
 * @param incarnation grows with each start of the same instance
 * @param role {@code entry} or {@code sidecar}
 * @param zone its availability zone
 * @param service the service of a sidecar's upstream; empty else
 * @param version the version of a sidecar's upstream; empty else
 */
public record PeerIdentity(
        InstanceId instance, long incarnation, String role, AvailabilityZone zone, String service, String version) {}

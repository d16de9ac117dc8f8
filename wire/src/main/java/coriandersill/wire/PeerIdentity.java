package coriandersill.wire;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;

/**
 * The identity of a process, which it sends to its peers in its hello.
 *
 * @param instance the instance id of the process
 * @param incarnation increases with each start of the same instance
 * @param role {@code entry} or {@code sidecar}
 * @param zone the availability zone of the process
 * @param service the service of a sidecar's upstream; empty for an entry
 * @param version the version of a sidecar's upstream; empty for an entry
 */
public record PeerIdentity(
        InstanceId instance, long incarnation, String role, AvailabilityZone zone, String service, String version) {}

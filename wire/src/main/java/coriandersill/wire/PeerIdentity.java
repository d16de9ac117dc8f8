package coriandersill.wire;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;

/**
 * The identity of a process, which it sends to its peers in its hello.
 *
 * @param instance the instance id of the process
 * @param incarnation increases with each start of the same instance
 * @param role {@code entry}, {@code sidecar}, or {@code tool} for the command-line tool
 * @param zone the availability zone of the process
 * @param service the service of a sidecar's upstream; empty for the other roles
 * @param version the version of a sidecar's upstream; empty for the other roles
 */
public record PeerIdentity(
        InstanceId instance, long incarnation, String role, AvailabilityZone zone, String service, String version) {}

package coriandersill.daemon;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.wire.WireSettings;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of one daemon, as read from its file by {@link SettingsReader}.
 *
 * @param instance this process
 * @param zone its availability zone
 * @param platform where the platform's services are
 * @param wire its wire listener
 * @param operations its listener for health, metrics and status
 * @param workers its worker pool
 * @param drainTimeout how long a stop waits for running calls
 * @param tls mutual TLS on the wire, if it is used
 * @param role what it does
 */
public record DaemonSettings(
        InstanceId instance,
        AvailabilityZone zone,
        Address platform,
        Address wire,
        Address operations,
        Workers workers,
        Duration drainTimeout,
        Optional<WireSettings.Tls> tls,
        RoleSettings role) {

    /** Refuses null. */
    public DaemonSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(role, "role");
    }

    /**
     * An address.
     *
     * @param host an IP number
     * @param port a port; 0 takes any free one where the daemon listens
     */
    public record Address(String host, int port) {}

    /**
     * The worker pool.
     *
     * @param threads how many threads
     * @param queueCapacity how many tasks may wait
     */
    public record Workers(int threads, int queueCapacity) {}

    /** What a daemon does. */
    public sealed interface RoleSettings {}

    /**
     * An entry.
     *
     * @param http the listener for callers
     * @param maxBodyBytes the largest body of a request in bytes
     * @param firstTokenDeadline how long a call may wait for its first token or answer
     * @param maxAttempts the most attempts at one call
     */
    public record EntryRole(Address http, int maxBodyBytes, Duration firstTokenDeadline, int maxAttempts)
            implements RoleSettings {}

    /**
     * A sidecar.
     *
     * @param service the service of its upstream
     * @param version the version of its upstream
     * @param upstream the upstream's address
     * @param upstreamTimeout how long the upstream may stay silent within a call
     */
    public record SidecarRole(ServiceName service, VersionName version, Address upstream, Duration upstreamTimeout)
            implements RoleSettings {}
}

package coriandersill.daemon;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.entry.EntrySettings;
import coriandersill.wire.WireSettings;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of one daemon, as read from its file by {@link SettingsReader}.
 *
 * @param instance the identifier of this process
 * @param zone its availability zone
 * @param platform the address of the platform's services
 * @param wire the listen address of the wire protocol
 * @param operations the listen address for health, metrics and status
 * @param workers the worker pool
 * @param drainTimeout how long a stop waits for running calls to finish
 * @param tls mutual TLS for the wire protocol, if enabled
 * @param role the settings of the role
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

    /** Creates the settings; instance, zone and role must not be null. */
    public DaemonSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(role, "role");
    }

    /**
     * A network address.
     *
     * @param host an IP address
     * @param port the port; 0 selects a free port for a listener
     */
    public record Address(String host, int port) {}

    /**
     * The size of the worker pool.
     *
     * @param threads the number of threads
     * @param queueCapacity the maximum number of waiting tasks
     */
    public record Workers(int threads, int queueCapacity) {}

    /** The settings of the role that a daemon runs. */
    public sealed interface RoleSettings {}

    /**
     * The settings of an entry.
     *
     * @param http the listen address for callers
     * @param limits the limits on callers' requests, and what the process may use for them
     * @param firstTokenDeadline how long a call may wait for its first token or response
     * @param maxAttempts the maximum number of attempts per call
     */
    public record EntryRole(
            Address http, EntrySettings.CallerLimits limits, Duration firstTokenDeadline, int maxAttempts)
            implements RoleSettings {}

    /**
     * The settings of a sidecar.
     *
     * @param service the service of its upstream
     * @param version the version of its upstream
     * @param upstream the upstream's address
     * @param upstreamTimeout the maximum time that the upstream may send no data during a call
     */
    public record SidecarRole(ServiceName service, VersionName version, Address upstream, Duration upstreamTimeout)
            implements RoleSettings {}
}

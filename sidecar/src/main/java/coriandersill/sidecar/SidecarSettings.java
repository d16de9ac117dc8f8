package coriandersill.sidecar;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.wire.WireSettings;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a sidecar.
 *
 * @param wire settings of the wire protocol, with the identity of this process
 * @param host the IP address of the wire listener
 * @param port the port of the wire listener; 0 for any free port
 * @param service the service of the upstream
 * @param version the version of the upstream
 * @param upstreamHost the IP address of the upstream
 * @param upstreamPort the port of the upstream
 * @param upstreamTimeout how long the upstream may send nothing during a call
 */
public record SidecarSettings(
        WireSettings wire,
        String host,
        int port,
        ServiceName service,
        VersionName version,
        String upstreamHost,
        int upstreamPort,
        Duration upstreamTimeout) {

    /** Throws {@link NullPointerException} if a reference is null. */
    public SidecarSettings {
        Objects.requireNonNull(wire, "wire");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(upstreamHost, "upstreamHost");
        Objects.requireNonNull(upstreamTimeout, "upstreamTimeout");
    }
}

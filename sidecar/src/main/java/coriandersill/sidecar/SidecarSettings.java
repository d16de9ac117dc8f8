package coriandersill.sidecar;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.wire.WireSettings;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a sidecar.
 *
 * @param wire the wire, with this process's identity
 * @param host the IP number of its wire listener
 * @param port the port of its wire listener; 0 takes any free one
 * @param service the service of its upstream
 * @param version the version of its upstream
 * @param upstreamHost the IP number of its upstream
 * @param upstreamPort the port of its upstream
 * @param upstreamTimeout how long the upstream may stay silent within a call
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

    /** Refuses null. */
    public SidecarSettings {
        Objects.requireNonNull(wire, "wire");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(upstreamHost, "upstreamHost");
        Objects.requireNonNull(upstreamTimeout, "upstreamTimeout");
    }
}

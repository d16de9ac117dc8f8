package coriandersill.wire;

import java.io.File;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of wire connections, for servers and clients.
 *
 * @param self the identity that this process sends in its hello
 * @param maxFrameBytes the largest frame in bytes that is accepted or sent
 * @param pingInterval the interval between keep-alive pings
 * @param idleTimeout a connection on which nothing is received for this long is closed
 * @param tls mutual TLS; empty for plain TCP
 */
public record WireSettings(
        PeerIdentity self, int maxFrameBytes, Duration pingInterval, Duration idleTimeout, Optional<Tls> tls) {

    /** The newest protocol version that this code supports. */
    public static final int MAX_PROTOCOL_VERSION = 1;

    /** The oldest protocol version that this code supports. */
    public static final int MIN_PROTOCOL_VERSION = 1;

    /** Default limit of the frame size, in bytes. */
    public static final int DEFAULT_MAX_FRAME_BYTES = 8 << 20;

    /** Throws {@link NullPointerException} if a reference is null. */
    public WireSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(pingInterval, "pingInterval");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        Objects.requireNonNull(tls, "tls");
    }

    /** Returns the default settings: frames of up to 8 MiB, a ping every second, an idle timeout of 3 s, no TLS. */
    public static WireSettings of(PeerIdentity self) {
        return new WireSettings(
                self, DEFAULT_MAX_FRAME_BYTES, Duration.ofSeconds(1), Duration.ofSeconds(3), Optional.empty());
    }

    /** Returns a copy of these settings with mutual TLS. */
    public WireSettings withTls(Tls value) {
        return new WireSettings(self, maxFrameBytes, pingInterval, idleTimeout, Optional.of(value));
    }

    /**
     * Files for mutual TLS.
     *
     * @param certificateChain this process's certificate chain, in PEM format
     * @param privateKey this process's private key, in PEM format
     * @param trustedCertificates the certificates of the authorities that issue peers' certificates, in PEM format
     */
    public record Tls(File certificateChain, File privateKey, File trustedCertificates) {}
}

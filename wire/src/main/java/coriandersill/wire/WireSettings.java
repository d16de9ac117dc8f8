package coriandersill.wire;

import java.io.File;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of the wire.
 *
 * @param self who this process is
 * @param maxFrameBytes the largest frame that is read or written
 * @param pingInterval how often a keep-alive is sent
 * @param idleTimeout how long a peer may be silent before its connection is closed
 * @param tls mutual TLS, if it is used
 */
public record WireSettings(
        PeerIdentity self, int maxFrameBytes, Duration pingInterval, Duration idleTimeout, Optional<Tls> tls) {

    /** The newest protocol version that this code speaks. */
    public static final int PROTOCOL_VERSION = 1;

    /** The oldest protocol version that this code speaks. */
    public static final int MIN_PROTOCOL_VERSION = 1;

    /** Largest frame in bytes unless set otherwise. */
    public static final int DEFAULT_MAX_FRAME_BYTES = 8 << 20;

    /** Refuses null. */
    public WireSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(pingInterval, "pingInterval");
        Objects.requireNonNull(idleTimeout, "silenceLimit");
        Objects.requireNonNull(tls, "tls");
    }

    /** Returns the usual settings: 8 MiB frames, a ping each second, three seconds of silence, no TLS. */
    public static WireSettings of(PeerIdentity self) {
        return new WireSettings(
                self, DEFAULT_MAX_FRAME_BYTES, Duration.ofSeconds(1), Duration.ofSeconds(3), Optional.empty());
    }

    /** Returns the same settings with mutual TLS. */
    public WireSettings withTls(Tls other) {
        return new WireSettings(self, maxFrameBytes, pingInterval, idleTimeout, Optional.of(other));
    }

    /**
     * Mutual TLS.
     *
     * @param certificateChain this process's certificate chain, PEM
     * @param privateKey this process's private key, PEM
     * @param trustedCertificates the certificates of the authorities that peers' certificates come from, PEM
     */
    public record Tls(File certificateChain, File privateKey, File trustedCertificates) {}
}

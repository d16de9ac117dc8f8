package coriandersill.entry;

import coriandersill.core.AvailabilityZone;
import coriandersill.wire.WireSettings;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an entry.
 *
 * @param wire the wire, with this process's identity
 * @param host the IP number of its HTTP listener
 * @param port the port of its HTTP listener; 0 takes any free one
 * @param peerHost the IP number of its wire listener for other entries
 * @param peerPort the port of its wire listener; 0 takes any free one
 * @param limits bounds on what callers may send
 * @param firstTokenDeadline how long a call may wait for its first token or its answer
 * @param maxAttempts the most attempts at one call, 1 or more
 */
public record EntrySettings(
        WireSettings wire,
        String host,
        int port,
        String peerHost,
        int peerPort,
        CallerLimits limits,
        Duration firstTokenDeadline,
        int maxAttempts) {

    /** Refuses null. */
    public EntrySettings {
        Objects.requireNonNull(wire, "wire");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(peerHost, "peerHost");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(firstTokenDeadline, "firstTokenDeadline");
    }

    /** The entry's availability zone. */
    public AvailabilityZone zone() {
        return wire.self().zone();
    }

    /**
     * Bounds on what callers may send.
     *
     * @param maxBodyBytes in bytes
     * @param maxHeaderBytes in bytes
     * @param requestTimeout how long a request may take to arrive whole
     */
    public record CallerLimits(int maxBodyBytes, int maxHeaderBytes, Duration requestTimeout) {

        /** Returns the usual bounds: 4 MiB, 16 KiB and 10 seconds. */
        public static CallerLimits standard() {
            return new CallerLimits(4 << 20, 16 << 10, Duration.ofSeconds(10));
        }
    }
}

package coriandersill.entry;

import coriandersill.connections.ProcessLimits;
import coriandersill.core.AvailabilityZone;
import coriandersill.wire.WireSettings;
import java.time.Duration;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Settings of an entry.
 *
 * @param wire settings of the wire protocol, with the identity of this process
 * @param host the IP address of the HTTP listener
 * @param port the port of the HTTP listener; 0 for any free port
 * @param peerHost the IP address of the wire listener for other entries
 * @param peerPort the port of the wire listener for other entries; 0 for any free port
 * @param limits limits on callers' requests
 * @param firstTokenDeadline how long a call may wait for its first token or its response
 * @param maxAttempts the maximum number of attempts at one call, 1 or more
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

    /** Throws {@link NullPointerException} if a reference is null. */
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
     * Limits on callers' requests.
     *
     * @param maxBodyBytes the maximum size of a request body, in bytes
     * @param maxHeaderBytes the maximum size of the request line, and also of all headers together, in bytes
     * @param requestTimeout how long a request may take to arrive completely
     * @param process what the process may use, by which the memory of requests and the connections are bounded
     */
    public record CallerLimits(int maxBodyBytes, int maxHeaderBytes, Duration requestTimeout, ProcessLimits process) {

        /** Throws {@link NullPointerException} if a reference is null. */
        public CallerLimits {
            Objects.requireNonNull(requestTimeout, "requestTimeout");
            Objects.requireNonNull(process, "process");
        }

        /** Returns the standard limits: 4 MiB, 16 KiB and 10 seconds, and what the system allows the process. */
        public static CallerLimits standard() {
            return new CallerLimits(
                    4 << 20,
                    16 << 10,
                    Duration.ofSeconds(10),
                    ProcessLimits.of(OptionalLong.empty(), OptionalInt.empty()));
        }
    }
}

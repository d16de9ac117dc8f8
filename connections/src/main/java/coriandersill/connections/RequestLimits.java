package coriandersill.connections;

import java.time.Duration;

/**
 * Limits for the requests of one port.
 *
 * @param maxHeadBytes the maximum size of the header lines of a request, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headTimeout the time within which a request head arrives, from its first byte
 * @param idleTimeout how long a connection may be idle between requests, or within a body
 */
public record RequestLimits(int maxHeadBytes, long maxBodyBytes, Duration headTimeout, Duration idleTimeout) {
    /** The maximum size of a request line, in bytes. */
    public static final int MAX_REQUEST_LINE_BYTES = 16_384;

    /** Bytes on the wire for each byte of a body in chunks of one byte, with their sizes and some extensions. */
    private static final int MAX_FRAMING_FACTOR = 8;

    /** Returns limits for a port that serves only other parts of the system, whose requests have no body. */
    public static RequestLimits internal() {
        return new RequestLimits(8 << 10, 8 << 10, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }

    /** Returns how many bytes may arrive from the first one of a request until its head is complete. */
    public int maxBytesBeforeBody() {
        return MAX_REQUEST_LINE_BYTES + maxHeadBytes;
    }

    /** Returns how many bytes a body may take on the wire, with chunk sizes, chunk extensions and trailers. */
    public long maxFramedBodyBytes() {
        return MAX_FRAMING_FACTOR * maxBodyBytes + maxBytesBeforeBody();
    }
}

package coriandersill.catalog;

import java.time.Duration;

/**
 * Limits for callers' requests.
 *
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxHeaderBytes the maximum size of a request head in bytes
 * @param headerTimeout the time within which a caller sends a request head
 * @param idleTimeout how long a connection may be idle between requests
 */
public record CallLimits(long maxBodyBytes, int maxHeaderBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;
    private static final Duration DEFAULT_HEADER_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(15);

    /** Returns limits with the defaults for everything but the size of a body. */
    public static CallLimits ofBody(long maxBodyBytes) {
        return new CallLimits(maxBodyBytes, DEFAULT_MAX_HEADER_BYTES, DEFAULT_HEADER_TIMEOUT, DEFAULT_IDLE_TIMEOUT);
    }
}

package coriandersill.relay;

import coriandersill.core.AvailabilityZone;
import java.time.Duration;
import java.util.Map;

/**
 * Settings of a relay.
 *
 * @param host the address that it listens on
 * @param port the port for callers
 * @param readyHost the address at which it tells whether it is ready
 * @param readyPort the port for that
 * @param zone its own availability zone
 * @param regions the region of each availability zone, by the zone's name
 * @param retryRatio repeats that all entries together may make of each service's requests
 * @param retryExtra repeats that they may make beyond that
 * @param coldFactor how far the calls to a cold upstream may exceed what its service declares
 * @param coldExtra calls a second that are allowed beyond that
 * @param catalogLifetime the age of the catalog from which an unknown key or route may be a new one
 */
public record RelaySettings(
        String host,
        int port,
        String readyHost,
        int readyPort,
        AvailabilityZone zone,
        Map<String, String> regions,
        double retryRatio,
        double retryExtra,
        double coldFactor,
        double coldExtra,
        Duration catalogLifetime) {}

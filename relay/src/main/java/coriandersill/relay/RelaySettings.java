package coriandersill.relay;

import coriandersill.core.AvailabilityZone;
import java.time.Duration;
import java.util.Map;

/**
 * Settings of a relay.
 *
 * @param host the address that it listens on
 * @param port the port for callers
 * @param readinessHost the address at which it tells whether it is ready
 * @param readinessPort the port for that
 * @param zone its own availability zone
 * @param regions the region of each availability zone, by the zone's name
 * @param retryRatio repeats that all entries together may make of each service's requests
 * @param retryBurst repeats that they may make beyond that
 * @param coldCallFactor how far the calls to a cold upstream may exceed what its service declares
 * @param coldCallMargin calls a second that are allowed beyond that
 * @param maxCatalogAge the age of the catalog from which an unknown key or route may be a new one
 */
public record RelaySettings(
        String host,
        int port,
        String readinessHost,
        int readinessPort,
        AvailabilityZone zone,
        Map<String, String> regions,
        double retryRatio,
        double retryBurst,
        double coldCallFactor,
        double coldCallMargin,
        Duration maxCatalogAge) {}

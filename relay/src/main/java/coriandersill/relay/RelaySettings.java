package coriandersill.relay;

import coriandersill.core.AvailabilityZone;
import java.time.Duration;
import java.util.Map;

/**
 * Settings of a relay.
 *
 * @param host the address on which callers connect
 * @param port the port on which callers connect
 * @param readinessHost the address of the readiness endpoint
 * @param readinessPort the port of the readiness endpoint
 * @param zone the availability zone of this entry
 * @param regionsByZone the region of each availability zone, by the zone's name
 * @param retryRatio retries that all entries together may make, as a fraction of each service's requests
 * @param retryBurst retries that all entries together may make beyond that fraction
 * @param coldCallFactor the factor by which the cold-call rate that a service declares is multiplied
 * @param coldCallMarginPerSecond calls per second allowed to a cold upstream beyond that
 * @param maxCatalogAge the age above which the catalog may lack recently added keys and routes
 */
public record RelaySettings(
        String host,
        int port,
        String readinessHost,
        int readinessPort,
        AvailabilityZone zone,
        Map<String, String> regionsByZone,
        double retryRatio,
        double retryBurst,
        double coldCallFactor,
        double coldCallMarginPerSecond,
        Duration maxCatalogAge) {}

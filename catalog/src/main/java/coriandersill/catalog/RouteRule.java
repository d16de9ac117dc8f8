package coriandersill.catalog;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * How calls to one host and path prefix are handled.
 *
 * @param name the name of the route
 * @param host the requested host, in lower case, without a port
 * @param pathPrefix the leading part of the path, which begins and ends with a slash
 * @param kind the kind of calls, which determines whether they may be retried
 * @param timeout the maximum duration of a call
 * @param targetLatency the time within which a response, or the first event of a stream, is on time
 * @param shares the services that receive the calls; at least one
 * @param maxAttempts the maximum number of upstreams that may execute one request of a caller; at least 1
 * @param keyOptional whether calls may omit the API key
 * @param resumable whether another run may continue a generation after the last delivered event
 * @param regions the regions whose upstreams may receive the calls; empty for all
 * @param priority the rank of the calls among those of the same service, 0 for the most urgent; empty if unspecified
 * @param maxEventGap the longest pause between the events of a stream that is on time; empty if unspecified
 */
public record RouteRule(
        RouteName name,
        String host,
        String pathPrefix,
        CallKind kind,
        Duration timeout,
        Duration targetLatency,
        List<TrafficShare> shares,
        int maxAttempts,
        boolean keyOptional,
        boolean resumable,
        Set<String> regions,
        OptionalInt priority,
        Optional<Duration> maxEventGap) {

    /** Copies the collections. */
    public RouteRule {
        shares = List.copyOf(shares);
        regions = Set.copyOf(regions);
    }

    /** Returns whether a call may be executed again after an attempt with an unknown outcome. */
    public boolean repeatable() {
        return kind == CallKind.IDEMPOTENT || (kind == CallKind.GENERATION && resumable);
    }
}

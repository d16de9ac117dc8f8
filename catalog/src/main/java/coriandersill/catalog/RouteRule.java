package coriandersill.catalog;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * How the calls of one host and path prefix are carried.
 *
 * @param name the route
 * @param host the host that callers name, in lower case, without a port
 * @param pathPrefix the leading part of the path, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout the longest time that a call is kept waiting
 * @param targetLatency the time within which an answer, or a stream's first event, is on time
 * @param shares the services that take the calls; at least one
 * @param maxAttempts the most upstreams that one attempt of a caller may run on; 1 or more
 * @param keyOptional whether calls need no key
 * @param resumable whether another run may go on after the last event that was delivered
 * @param regions the regions whose upstreams may take the calls; empty for all
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
        Set<String> regions) {

    /** Copies the collections. */
    public RouteRule {
        shares = List.copyOf(shares);
        regions = Set.copyOf(regions);
    }

    /** Whether a call may run again after a run whose end is unknown. */
    public boolean repeatable() {
        return kind == CallKind.IDEMPOTENT || (kind == CallKind.GENERATION && resumable);
    }
}

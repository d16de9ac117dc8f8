package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.Map;

/**
 * Detects upstreams that perform worse than their peers on a route.
 *
 * <p>Implementations need not be thread-safe: {@link Router} calls them under its lock.
 */
public interface OutlierDetector {

    /** Records the result of an attempt; {@code nowNanos} is the time of the router's clock, in nanoseconds. */
    void record(InstanceId instance, RouteRequest request, CallResult result, long nowNanos);

    /**
     * Returns the instances with a reduced traffic share for the request's version and route: 0 for an ejected
     * instance, rising to 1 for a recovering one. Instances that are not in the map get their full share.
     */
    Map<InstanceId, Double> reducedShares(RouteRequest request, long nowNanos);

    /** Discards the state of an instance that has left. */
    void removeInstance(InstanceId instance);
}

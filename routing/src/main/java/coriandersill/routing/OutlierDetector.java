package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.Map;

/**
 * Finds upstreams that do worse than their peers on a route.
 *
 * <p>Implementations need not be safe for use by many threads: {@link Router} calls them under its lock.
 */
public interface OutlierDetector {

    /** Notes how an attempt ended; {@code now} is the time by the router's clock, in nanoseconds. */
    void record(InstanceId instance, RouteRequest request, CallResult result, long now);

    /**
     * Returns the instances that take less than their usual share of the request's version and route: 0 for an ejected
     * one, up to 1 for one that is on its way back. Instances that are not in the map take their usual share.
     */
    Map<InstanceId, Double> reducedShares(RouteRequest request, long now);

    /** Forgets an instance that has left. */
    void removeInstance(InstanceId instance);
}

package coriandersill.catalog;

import coriandersill.core.ServiceName;

/**
 * The part of a route's calls that one service takes.
 *
 * @param service the service
 * @param weight its part, as against the sum over the route; 0 or more
 */
public record TrafficShare(ServiceName service, int weight) {}

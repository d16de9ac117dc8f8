package coriandersill.catalog;

import coriandersill.core.ServiceName;

/**
 * The share of a route's calls that one service receives.
 *
 * @param service the service
 * @param weight the weight relative to the sum of the route's weights; 0 or more
 */
public record TrafficShare(ServiceName service, int weight) {}

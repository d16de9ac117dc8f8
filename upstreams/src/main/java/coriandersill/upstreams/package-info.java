/** Upstreams that an entry calls itself: the listing, zones out of service, cold starts and shared limits. */
package coriandersill.upstreams;

/**
 * Upstreams that an entry calls directly, without a sidecar: listings, availability zones out of service, and limits
 * for cold starts.
 */
package coriandersill.upstreams;

/** Upstreams that an entry calls directly: listings, availability zones out of service, and limits for cold starts. */
package coriandersill.upstreams;

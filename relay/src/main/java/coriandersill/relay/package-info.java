/** Forwards callers' requests to upstreams over HTTP, and moves running generations between engines. */
package coriandersill.relay;

/**
 * The gate beside one upstream: takes calls from entries over the wire, decides when each goes to the upstream, and
 * streams the answer back. {@link coriandersill.sidecar.Sidecar} is the way in.
 */
package coriandersill.sidecar;

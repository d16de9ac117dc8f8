/**
 * The sidecar of one upstream: receives calls from entries over the wire protocol, decides when each is sent to the
 * upstream, and streams the response back; see {@link coriandersill.sidecar.Sidecar}.
 */
package coriandersill.sidecar;

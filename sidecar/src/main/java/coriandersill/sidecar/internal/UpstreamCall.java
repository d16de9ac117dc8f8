package coriandersill.sidecar.internal;

import coriandersill.wire.WireConnection;

/** A call that has been sent to the upstream. */
interface UpstreamCall {

    /**
     * Cancels the call. A non-idempotent plain call that has been sent is not aborted at the upstream; its response is
     * dropped.
     */
    void cancel();

    /** Grants credit for more tokens. */
    void grantCredit(int tokens);

    /**
     * Moves the call to another connection and sends its tokens from {@code nextIndex} on again, or fails the call if
     * these are no longer kept; returns false if this kind of call cannot be resumed.
     */
    boolean resume(WireConnection connection, long nextIndex, int credit);
}

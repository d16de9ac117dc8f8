package coriandersill.sidecar.internal;

import coriandersill.wire.WireConnection;

/** A call that is at the upstream. */
interface UpstreamCall {

    /** Gives the call up at the upstream. */
    void cancel();

    /** Allows that many more tokens. */
    void credit(int tokens);

    /** Moves the call to a connection and sends again from a token on; false if this kind of call cannot be resumed. */
    boolean resume(WireConnection connection, long nextIndex, int credit);
}

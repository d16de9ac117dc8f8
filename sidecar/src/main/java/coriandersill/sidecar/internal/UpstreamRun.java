package coriandersill.sidecar.internal;

/** A call that is at the upstream. */
interface UpstreamRun {

    /** Gives the call up at the upstream. */
    void cancel();

    /** Allows that many more tokens. */
    void credit(int tokens);

    /** Sends again from a token on, over the call's present connection; false if the token is no longer kept. */
    boolean resume(long nextIndex, int credit);
}

package coriandersill.relay.internal;

import coriandersill.core.CallFailure;

/** A call that waits to be sent to an upstream. Its methods may be called from any thread. */
interface WaitingCall {
    /** Returns the plan of the call. */
    CallPlan plan();

    /** Returns the time since the call arrived, in nanoseconds. */
    long elapsedNanos();

    /** Returns the memory that the call occupies while it waits, in bytes. */
    long memoryBytes();

    /** Lets the call look for an upstream. */
    void dispatch();

    /** Ends the call, which has not run, with a failure. */
    void refuse(CallFailure failure);
}

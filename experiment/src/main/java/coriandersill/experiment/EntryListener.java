package coriandersill.experiment;

import coriandersill.core.CallFailure;

/** Receives the decisions of an entry about its calls. */
interface EntryListener {

    /** Called when an attempt is sent to the sidecar {@link Call#instance}, which must admit it by the deadline. */
    void dispatched(Call call, long deadlineNanos);

    /** Called when the complete response has been returned to the caller. */
    void answered(Call call);

    /** Called when a failure has been returned to the caller. */
    void failed(Call call, CallFailure failure);
}

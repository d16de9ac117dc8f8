package coriandersill.experiment;

import coriandersill.core.CallFailure;

/** Hears what an entry does with its calls. */
interface EntryListener {

    /** The call goes to the sidecar it now names. */
    void dispatch(Call call, long deadlineNanos);

    /** The caller has its whole answer. */
    void answered(Call call);

    /** The caller hears of a failure. */
    void failed(Call call, CallFailure failure);
}

package coriandersill.experiment;

import coriandersill.core.CallFailure;

/** Hears what becomes of the calls at a sidecar. */
interface SidecarListener {

    /** One more token; the call still shows the state before it. */
    void token(Call call);

    /** The generation ended whole. */
    void finished(Call call);

    /** The call was refused or broke off. */
    void failed(Call call, CallFailure failure);
}

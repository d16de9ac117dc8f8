package coriandersill.experiment;

import coriandersill.core.CallFailure;

/** Receives the progress and results of the calls at a sidecar. */
interface SidecarListener {

    /** Called for each generated token, before the token count and times of the call are updated. */
    void tokenGenerated(Call call);

    /** Called when all tokens have been generated. */
    void finished(Call call);

    /** Called when the attempt was refused or interrupted. */
    void failed(Call call, CallFailure failure);
}

package coriandersill.experiment;

import coriandersill.core.CallId;

/** Receives the output of an engine, at the end of an iteration or when the engine rejects or loses a generation. */
interface EngineListener {

    /** Called for each generated token. */
    void tokenGenerated(CallId id);

    /** Called when a generation has ended: all tokens were generated, or the engine was down or crashed. */
    void generationEnded(CallId id, boolean completed);
}

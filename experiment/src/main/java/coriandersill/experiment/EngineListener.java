package coriandersill.experiment;

import coriandersill.core.CallId;

/** Hears what an engine does; called at the end of an iteration. */
interface EngineListener {

    /** One more token of a generation. */
    void token(CallId id);

    /** The end of a generation, whole or broken off by the engine. */
    void ended(CallId id, boolean whole);
}

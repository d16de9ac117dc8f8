package coriandersill.soak;

import coriandersill.platform.FixedBehavior;
import coriandersill.platform.GenerationBehavior;

/** Chooses the behavior of each engine. */
interface EngineBehaviors {
    /** All engines stream in chunks and carry out each order. */
    EngineBehaviors CHUNKED = engineId -> FixedBehavior.DEFAULT;

    /** Returns the behavior of an engine. */
    GenerationBehavior of(String engineId);
}

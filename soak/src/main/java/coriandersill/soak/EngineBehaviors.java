package coriandersill.soak;

import coriandersill.platform.GenerationBehavior;

/** Chooses the behavior of each engine. */
interface EngineBehaviors {
    /** Returns the behavior of an engine. */
    GenerationBehavior of(String engineId);
}

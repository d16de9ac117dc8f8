package coriandersill.relay.internal;

import java.time.Duration;
import java.util.OptionalInt;

/** Determines the priority that an engine is told of a generation. Implementations are thread-safe. */
@FunctionalInterface
interface EngineRequestPriority {
    /**
     * Returns the priority from 0, which is served first, to 9; empty to state none.
     *
     * @param elapsed the time from the call's arrival to its first event, or until now if it has none
     */
    OptionalInt of(CallPlan plan, Duration elapsed);
}

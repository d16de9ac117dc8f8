package coriandersill.soak;

import coriandersill.platform.FixedBehavior;
import coriandersill.platform.GenerationBehavior;
import coriandersill.platform.StopOutcome;
import coriandersill.platform.StreamFraming;
import java.util.List;

/** Draws the framing of each stream by seed, call and engine; all else is as {@link FixedBehavior#DEFAULT} has it. */
record DrawnFraming(long seed, String engineId) implements GenerationBehavior {
    private static final List<StreamFraming> FRAMINGS = List.of(StreamFraming.values());

    @Override
    public StreamFraming framing(String callId) {
        return KeyedDraw.of(seed, "framing", engineId, callId).choose(FRAMINGS);
    }

    @Override
    public int eventCount(String callId) {
        return FixedBehavior.DEFAULT.eventCount(callId);
    }

    @Override
    public StopOutcome stopOutcome(String callId, int orderNumber) {
        return FixedBehavior.DEFAULT.stopOutcome(callId, orderNumber);
    }
}

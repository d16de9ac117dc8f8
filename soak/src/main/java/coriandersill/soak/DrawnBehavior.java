package coriandersill.soak;

import coriandersill.platform.GenerationBehavior;
import coriandersill.platform.StopOutcome;
import coriandersill.platform.StreamFraming;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Draws the framing of each stream as {@link DrawnFraming} does, the length of each generation and the outcome of each
 * order to stop; a draw depends on the seed, the call and, but for the length, the engine.
 */
record DrawnBehavior(long seed, String engineId) implements GenerationBehavior {
    private static final int MIN_EVENTS = 15;
    private static final int MAX_EVENTS = 90;

    /** Outcomes with their shares. {@link StopOutcome#CRASH} is left out, since it ends all calls of the engine. */
    private static final List<StopOutcome> OUTCOMES = weighted(Map.of(
            StopOutcome.COPIED, 12,
            StopOutcome.COPIED_SLOWLY, 3,
            StopOutcome.NO_ROOM, 1,
            StopOutcome.NO_ROOM_WITH_HANDLE, 2,
            StopOutcome.BUSY, 2,
            StopOutcome.SILENT, 1,
            StopOutcome.ANSWER_LOST, 1,
            StopOutcome.CARRIED_OUT_LATE, 1,
            StopOutcome.SILENT_AND_LATE, 1,
            StopOutcome.ENDED_BEFORE, 1));

    private static List<StopOutcome> weighted(Map<StopOutcome, Integer> shares) {
        List<StopOutcome> outcomes = new ArrayList<>();
        for (StopOutcome outcome : StopOutcome.values()) {
            outcomes.addAll(Collections.nCopies(shares.getOrDefault(outcome, 0), outcome));
        }
        return List.copyOf(outcomes);
    }

    @Override
    public StreamFraming framing(String callId) {
        return new DrawnFraming(seed, engineId).framing(callId);
    }

    @Override
    public int eventCount(String callId) {
        return KeyedDraw.of(seed, "events", callId).between(MIN_EVENTS, MAX_EVENTS);
    }

    @Override
    public StopOutcome stopOutcome(String callId, int orderNumber) {
        return KeyedDraw.of(seed, "order", engineId, callId, orderNumber).choose(OUTCOMES);
    }
}

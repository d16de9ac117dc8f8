package coriandersill.relay.internal;

import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the decisions of one call and writes them to the event log when the call ends, if it failed, is kept or is
 * sampled.
 *
 * <p>Confined to the Vert.x context of the call.
 */
final class CallTrace {
    /** One in this many successful calls is written, selected by the hash of the call's identifier. */
    private static final int SAMPLE_INTERVAL = 16;

    /** The maximum number of decisions kept for one call; further ones are only counted. */
    private static final int MAX_DECISIONS = 64;

    private final EventLog events;
    private final String id;
    private final List<Decision> decisions = new ArrayList<>();
    private int droppedCount;
    private boolean kept;

    CallTrace(EventLog events, String id) {
        this.events = events;
        this.id = id;
    }

    /** Records a decision with its inputs; {@code atMillis} is the time since the call arrived. */
    void record(EventCode code, long atMillis, Map<String, ?> inputs) {
        if (decisions.size() == MAX_DECISIONS) {
            droppedCount++;
            return;
        }
        Map<String, Object> details = new LinkedHashMap<>();
        details.put("call", id);
        details.put("at_ms", atMillis);
        details.putAll(inputs);
        decisions.add(new Decision(code, details));
    }

    /** Makes the decisions be written however the call ends, since its success depends on more than its upstream. */
    void keep() {
        kept = true;
    }

    /** Writes the recorded decisions if the call failed, is kept or is sampled. */
    void finish(boolean failed) {
        if (!failed && !kept && Math.floorMod(id.hashCode(), SAMPLE_INTERVAL) != 0) {
            return;
        }
        for (Decision decision : decisions) {
            events.record(decision.code(), decision.details());
        }
        if (droppedCount > 0) {
            events.record(EventCode.CALL_LINES_DROPPED, Map.of("call", id, "lines", droppedCount));
        }
    }

    private record Decision(EventCode code, Map<String, Object> details) {}
}

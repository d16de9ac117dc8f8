package coriandersill.relay.internal;

import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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

    /** The maximum number of decisions kept from the beginning of a call. */
    private static final int MAX_FIRST_DECISIONS = 32;

    /** The maximum number of decisions kept from its end; those between are only counted. */
    private static final int MAX_LAST_DECISIONS = 32;

    private final EventLog events;
    private final String id;
    private final List<Decision> first = new ArrayList<>();
    private final Deque<Decision> last = new ArrayDeque<>();
    private int droppedCount;
    private boolean kept;

    CallTrace(EventLog events, String id) {
        this.events = events;
        this.id = id;
    }

    /** Records a decision with its inputs; {@code atMillis} is the time since the call arrived. */
    void record(EventCode code, long atMillis, Map<String, ?> inputs) {
        Map<String, Object> details = new LinkedHashMap<>();
        details.put("call", id);
        details.put("at_ms", atMillis);
        details.putAll(inputs);
        add(new Decision(code, details));
    }

    private void add(Decision decision) {
        if (first.size() < MAX_FIRST_DECISIONS) {
            first.add(decision);
            return;
        }
        last.add(decision);
        if (last.size() > MAX_LAST_DECISIONS) {
            last.remove();
            droppedCount++;
        }
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
        first.forEach(this::write);
        if (droppedCount > 0) {
            Object resumedAtMillis = last.element().details().get("at_ms");
            events.record(
                    EventCode.CALL_LINES_DROPPED, Map.of("call", id, "at_ms", resumedAtMillis, "lines", droppedCount));
        }
        last.forEach(this::write);
    }

    private void write(Decision decision) {
        events.record(decision.code(), decision.details());
    }

    private record Decision(EventCode code, Map<String, Object> details) {}
}

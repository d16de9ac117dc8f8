package coriandersill.relay.internal;

import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The decisions of one call, written when it ends: all of a call that failed, and a sample of the others.
 *
 * <p>Confined to the call's context.
 */
final class CallTrace {
    /** One in so many calls that went well is written; it divides the hash of the call's identifier. */
    private static final int SAMPLE = 16;

    /** The most decisions that are kept of one call; further ones are counted. */
    private static final int MOST_LINES = 64;

    private final EventLog events;
    private final String id;
    private final List<Line> lines = new ArrayList<>();
    private int dropped;

    CallTrace(EventLog events, String id) {
        this.events = events;
        this.id = id;
    }

    /** Notes a decision with its inputs; {@code atMillis} is the time since the call arrived. */
    void note(EventCode code, long atMillis, Map<String, ?> inputs) {
        if (lines.size() == MOST_LINES) {
            dropped++;
            return;
        }
        Map<String, Object> details = new LinkedHashMap<>();
        details.put("call", id);
        details.put("at_ms", atMillis);
        details.putAll(inputs);
        lines.add(new Line(code, details));
    }

    /** Writes what was noted if the call failed or belongs to the sample. */
    void end(boolean failed) {
        if (!failed && Math.floorMod(id.hashCode(), SAMPLE) != 0) {
            return;
        }
        for (Line line : lines) {
            events.record(line.code(), line.details());
        }
        if (dropped > 0) {
            events.record(EventCode.CALL_LINES_DROPPED, Map.of("call", id, "lines", dropped));
        }
    }

    private record Line(EventCode code, Map<String, Object> details) {}
}

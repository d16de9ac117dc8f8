package coriandersill.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import coriandersill.events.EventCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against calls whose lines do not tell how they began or ended. */
final class CallTraceTest {
    private static final int LINES = 200;

    /** A call that is written although it succeeded only if it is kept. */
    private static final String UNSAMPLED = "c1";

    private final List<Map<String, ?>> lines = new ArrayList<>();
    private final List<EventCode> codes = new ArrayList<>();
    private final CallTrace trace = new CallTrace(
            (code, details) -> {
                codes.add(code);
                lines.add(details);
            },
            UNSAMPLED);

    @Test
    void theFirstAndTheLastLinesOfALongCallAreWrittenAndThoseBetweenAreCountedThere() {
        trace.record(EventCode.CALL_TAKEN, 0, Map.of());
        for (int line = 1; line < LINES - 1; line++) {
            trace.record(EventCode.GENERATION_COPIED, line, Map.of());
        }
        trace.record(EventCode.CALL_FAILED, LINES - 1, Map.of());

        trace.finish(true);

        assertThat(codes.get(0), is(EventCode.CALL_TAKEN));
        assertThat(codes.get(codes.size() - 1), is(EventCode.CALL_FAILED));
        int dropped = codes.indexOf(EventCode.CALL_LINES_DROPPED);
        assertThat(lines.get(dropped).get("lines"), is(LINES - (codes.size() - 1)));
        assertThat(lines.get(dropped).get("at_ms"), is(lines.get(dropped + 1).get("at_ms")));
    }

    @Test
    void aCallThatSucceededIsWrittenIfItIsKept() {
        trace.record(EventCode.CALL_ANSWERED, 1, Map.of());
        trace.finish(false);
        assertThat(lines, hasSize(0));

        trace.keep();
        trace.finish(false);
        assertThat(codes, contains(EventCode.CALL_ANSWERED));
    }
}

package coriandersill.soak;

import coriandersill.platform.EngineRun;
import coriandersill.platform.StandInUpstream;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks the streams that callers received against the runs of the engines: each event once and in order, and as
 * complete only what ends with the last event that an engine wrote of the generation.
 */
final class StreamChecker {
    private static final int STATUS_OK = 200;

    private final EngineRecords records;
    private final List<String> violations = new ArrayList<>();

    private StreamChecker(EngineRecords records) {
        this.records = records;
    }

    /** Returns a description of each violation found. */
    static List<String> violations(List<CallResult> calls, List<Upstream> upstreams) {
        StreamChecker checker = new StreamChecker(EngineRecords.of(upstreams));
        calls.stream()
                .filter(call -> call.kind().streaming() && call.status() == STATUS_OK)
                .forEach(checker::check);
        return checker.violations;
    }

    private void check(CallResult call) {
        List<EngineRun> runs = records.runs(call.id());
        List<String> events = events(call);
        List<String> expected = StandInUpstream.fullStream(eventCount(runs));
        if (events.size() > expected.size() || !events.equals(expected.subList(0, events.size()))) {
            violations.add("events missing, repeated or out of order: " + call + ": " + firstLines(events)
                    + records.describe(call));
        }
        if (!call.complete()) {
            return;
        }
        if (events.size() < expected.size() || !call.body().endsWith("\n\n")) {
            violations.add("stream ended normally after " + events.size() + " of " + expected.size() + " events: "
                    + call + records.describe(call));
        } else if (runs.stream().noneMatch(run -> run.end() == EngineRun.End.COMPLETED)) {
            violations.add("stream ended normally, but no engine has written its last event: " + call
                    + records.describe(call));
        }
    }

    private static int eventCount(List<EngineRun> runs) {
        return runs.stream()
                .mapToInt(EngineRun::eventCount)
                .max()
                .orElse(StandInUpstream.fullStream().size());
    }

    private static List<String> firstLines(List<String> events) {
        return events.stream()
                .map(event -> event.lines().findFirst().orElse(""))
                .toList();
    }

    private static List<String> events(CallResult call) {
        List<String> events = new ArrayList<>();
        String body = call.body();
        int start = 0;
        for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", start)) {
            events.add(body.substring(start, end));
            start = end + 2;
        }
        return events;
    }
}

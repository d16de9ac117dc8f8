package coriandersill.soak;

import coriandersill.platform.EngineRun;
import coriandersill.platform.StopOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** What all engines did with each call. */
final class EngineRecords {
    /** A run with the engine that it was at. */
    private record RunAt(Upstream engine, EngineRun run) {
        @Override
        public String toString() {
            return engine.id() + " " + run.framing() + " events " + run.firstEvent() + " to " + (run.nextEvent() - 1)
                    + " of " + run.eventCount() + " " + run.end() + ", orders "
                    + engine.server().stopOrders(run.callId());
        }
    }

    private final List<Upstream> upstreams;
    private final Map<String, List<RunAt>> runs = new HashMap<>();

    private EngineRecords(List<Upstream> upstreams) {
        this.upstreams = upstreams;
        for (Upstream upstream : upstreams) {
            for (EngineRun run : upstream.server().runs()) {
                runs.computeIfAbsent(run.callId(), id -> new ArrayList<>()).add(new RunAt(upstream, run));
            }
        }
    }

    /** Returns the records of upstreams as they are now. */
    static EngineRecords of(List<Upstream> upstreams) {
        return new EngineRecords(upstreams);
    }

    /** Returns the runs of a call, by engine. */
    List<EngineRun> runs(String callId) {
        return runsAt(callId).map(RunAt::run).toList();
    }

    /** Returns what became of all orders to stop a call, by engine. */
    List<StopOutcome> stopOrders(String callId) {
        return upstreams.stream()
                .flatMap(upstream -> upstream.server().stopOrders(callId).stream())
                .toList();
    }

    /** Returns whether an engine at which the call ran was gone at a time. */
    boolean isEngineGone(String callId, long atNanos) {
        return runsAt(callId).anyMatch(run -> run.engine().closedAtNanos() < atNanos);
    }

    /** Returns a text with the runs of a call, and when their engines were gone. */
    String describe(CallResult call) {
        return runsAt(call.id())
                .map(run -> run + goneText(run.engine(), call))
                .collect(Collectors.joining("; ", " (", ")"));
    }

    private static String goneText(Upstream engine, CallResult call) {
        return engine.closedAtNanos() == Long.MAX_VALUE
                ? ""
                : ", engine gone "
                        + TimeUnit.NANOSECONDS.toMillis(engine.closedAtNanos() - call.endedAtNanos())
                        + " ms after the response";
    }

    private Stream<RunAt> runsAt(String callId) {
        return runs.getOrDefault(callId, List.of()).stream();
    }
}

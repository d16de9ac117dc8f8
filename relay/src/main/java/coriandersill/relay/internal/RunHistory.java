package coriandersill.relay.internal;

import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.responses.Framing;
import coriandersill.responses.GenerationRun;
import coriandersill.responses.StopEvidence;
import coriandersill.responses.StopOrder;
import coriandersill.responses.StopOrders;
import coriandersill.responses.StreamEnd;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The runs of one generation and the orders to stop them, which are written to the call's trace.
 *
 * <p>Confined to the Vert.x context of the call.
 */
final class RunHistory {
    private final CallTrace trace;
    private final Consumer<StreamEnd> ends;
    private final List<GenerationRun> runs = new ArrayList<>();
    private StopOrders orders = StopOrders.NONE;

    /**
     * Creates a history without runs.
     *
     * @param ends receives each end of a stream that was decided, unless its framing and its events leave no doubt
     */
    RunHistory(CallTrace trace, Consumer<StreamEnd> ends) {
        this.trace = trace;
        this.ends = ends;
    }

    /** Records that the generation begins or continues at {@code engine}; returns the new run. */
    GenerationRun begin(InstanceId engine) {
        GenerationRun run = new GenerationRun(runs.size() + 1, engine);
        runs.add(run);
        return run;
    }

    /** Returns whether no later run has begun. */
    boolean isLatest(GenerationRun run) {
        return run.number() == runs.size();
    }

    /**
     * Returns the latest run at {@code engine}.
     *
     * @throws IllegalStateException if there is none
     */
    GenerationRun latestAt(InstanceId engine) {
        return runs.stream()
                .filter(run -> run.engine().equals(engine))
                .reduce((earlier, later) -> later)
                .orElseThrow(() -> new IllegalStateException("no run at " + engine));
    }

    /** Records that an engine is about to be told to stop {@code run}; returns the number of the order. */
    int recordOrder(GenerationRun run, long atMillis) {
        orders = orders.ordered(run);
        // The engine closes the stream, so that a success depends on more than what it sent.
        trace.keep();
        trace.record(
                EventCode.GENERATION_STOP_ORDERED,
                atMillis,
                Map.of("order", orders.last(), "run", run.number(), "engine", run.engine()));
        return orders.last();
    }

    /** Records what became of an order, or that no answer will be received. */
    void settleOrder(int order, StopOrder.State state, long atMillis) {
        orders = orders.settled(order, state);
        trace.record(EventCode.GENERATION_STOP_SETTLED, atMillis, Map.of("order", order, "state", state));
    }

    /** Returns the number of the last order, 0 if there is none. */
    int lastOrder() {
        return orders.last();
    }

    /** Returns what the orders up to a number, which were given before the end of {@code run}, say about it. */
    StopEvidence stopEvidence(GenerationRun run, int lastOrder) {
        return orders.upTo(lastOrder).evidenceFor(run);
    }

    /** Returns what the orders say about the end of {@code run}. */
    StopEvidence stopEvidence(GenerationRun run) {
        return orders.evidenceFor(run);
    }

    /**
     * Records how the end of a stream was judged, unless its framing, its events and the lack of orders leave no doubt.
     */
    void recordEnd(GenerationRun run, StreamEnd end, long atMillis) {
        StreamEnd.Verdict verdict = end.verdict();
        boolean undoubted = end.framing() == Framing.DELIMITED && verdict == StreamEnd.Verdict.COMPLETE;
        if (undoubted && orders.isEmpty()) {
            return;
        }
        if (!undoubted && verdict != StreamEnd.Verdict.ASK_PROCESS) {
            ends.accept(end);
        }
        Map<String, Object> details = new LinkedHashMap<>();
        details.put("upstream", run.engine());
        details.put("run", run.number());
        details.put("framing", end.framing());
        details.put("request", end.request());
        details.put("events", end.events());
        details.put("inside_event", end.insideEvent());
        details.put("orders", end.stop());
        details.put("moving", end.moving());
        details.put("process", end.process());
        details.put("verdict", verdict);
        trace.record(EventCode.STREAM_END_JUDGED, atMillis, details);
    }
}

package coriandersill.relay.internal;

import coriandersill.routing.CallResult;
import coriandersill.routing.PaceWindow;
import java.time.Duration;

/**
 * Measures one run of a generation, and passes the figures to the router, the rollouts, the dispatch queue and the
 * quarantine.
 *
 * <p>Confined to the Vert.x context of the call; shared tables are told on the worker pool.
 */
final class RunMeasurements {
    private final GenerationCall call;
    private final RelayComponents components;
    private final UpstreamSelector.Selection target;
    private final boolean continuation;
    private final PaceWindow pace = PaceWindow.create();
    private final long sentAtNanos;
    private boolean latencyRecorded;
    private boolean begun;
    private long firstEventAtNanos;
    private long eventCount;

    /**
     * Creates the measurements of a run that is about to be requested.
     *
     * @param continuation whether the run continues from a copy, so that its first event is not that of the generation
     */
    RunMeasurements(GenerationCall call, UpstreamSelector.Selection target, boolean continuation) {
        this.call = call;
        this.components = call.components;
        this.target = target;
        this.continuation = continuation;
        this.sentAtNanos = components.clock().nanos();
    }

    /** Returns whether the engine has sent an event. */
    boolean hasBegun() {
        return begun;
    }

    /** Returns the number of events that the engine has sent. */
    long eventCount() {
        return eventCount;
    }

    /** Called immediately before the request is written. */
    void sent() {
        if (!continuation && components.rollouts().isObserved(target.upstream().service())) {
            long limitMillis = Math.max(1, call.plan.route().targetLatency().toMillis());
            call.steps.runLater(limitMillis, this::recordIfNotBegun);
        }
    }

    /** Counts a generation that has not begun in time, since it may take much longer, or never begin. */
    private void recordIfNotBegun() {
        if (!begun && call.isWaitingFor(target)) {
            latencyRecorded = true;
            call.samples.begun(target.upstream(), components.clock().nanos() - sentAtNanos);
        }
    }

    /** Called when the engine sends its first event. */
    void begin() {
        begun = true;
        firstEventAtNanos = components.clock().nanos();
        long sinceSentNanos = firstEventAtNanos - sentAtNanos;
        if (!continuation) {
            components.executions().executionBegan(call.plan.service().name(), call.plan.workspace());
            components.dispatchQueue().begun(call, Duration.ofNanos(sinceSentNanos));
        }
        if (!continuation && !latencyRecorded) {
            call.samples.begun(target.upstream(), sinceSentNanos);
        }
        components.workers().executeOrRun(this::recordBegun);
    }

    private void recordBegun() {
        components.selector().recordPromptPrefilled(target, call.plan);
        if (continuation) {
            components.promptParts().moved(target.upstream(), call.plan);
        } else {
            components.promptParts().begun(target.upstream(), call.plan);
        }
    }

    /** Counts an event. */
    void countEvent() {
        eventCount++;
        recordPace();
        if (eventCount == CrashDetector.EVENTS_OF_SUCCESS) {
            recordSuccess();
        }
    }

    private void recordPace() {
        if (call.exchange != null && call.exchange.isPaused()) {
            pace.reset();
            return;
        }
        pace.record(components.clock().nanos()).ifPresent(nanos -> {
            long longestNanos = pace.longestNanos();
            components
                    .workers()
                    .executeOrRun(() -> components.selector().recordPace(call.plan, target, nanos, longestNanos));
        });
    }

    /** Records that the engine generates with these prompt parts and lives. */
    private void recordSuccess() {
        if (!call.traits.parts().isEmpty()) {
            components.workers().executeOrRun(() -> components.quarantine().recordSuccess(call.traits));
        }
    }

    /** Called when the stream has ended and is whole. */
    void complete() {
        recordSuccess();
        long endedAtNanos = components.clock().nanos();
        if (eventCount > 1) {
            long betweenNanos = (endedAtNanos - firstEventAtNanos) / (eventCount - 1);
            call.samples.paced(target.upstream(), betweenNanos);
        }
        long streamNanos = endedAtNanos - sentAtNanos;
        components.workers().executeOrRun(() -> components.promptParts().ended(call.plan, streamNanos));
        long delivered = call.deliveredEvents();
        call.place.recordResult(target, CallResult.ok(streamNanos / Math.max(1, delivered), 0, delivered));
    }
}

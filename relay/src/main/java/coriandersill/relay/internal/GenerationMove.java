package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.relay.CopyResult;
import coriandersill.relay.KvCacheCopy;
import coriandersill.responses.GenerationRun;
import coriandersill.responses.StopEvidence;
import coriandersill.responses.StopOrder;
import coriandersill.routing.CallResult;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Moves one running generation to another engine (live migration of its KV cache).
 *
 * <p>The KV cache is copied while the generation keeps running, then repeatedly what was added since, until a copy is
 * short enough for an unnoticeable pause or the time is nearly over. Then the generation is stopped, the remainder is
 * copied, and the stream continues on the target. Confined to the Vert.x context of its call.
 */
final class GenerationMove {
    /**
     * The delay before another try if the generation has not started, another copy is in progress or no target fits.
     */
    private static final long RETRY_DELAY_MILLIS = 30;

    /** The delay before another try if the generation has stopped and no target takes it. */
    private static final long STOPPED_RETRY_DELAY_MILLIS = 100;

    /** The maximum number of targets tried. */
    private static final int MAX_TARGETS = 4;

    /** The number of a copy command that is no order to stop. */
    private static final int NO_ORDER = 0;

    private final GenerationCall call;
    private final RelayComponents components;
    private final UpstreamSelector.Selection source;
    private final GenerationRun sourceRun;
    private final MovePacing pacing;
    private final TargetCriteria criteria;
    private final long startedAtNanos;
    private final Set<InstanceId> excluded = new HashSet<>();
    private UpstreamSelector.Selection target;

    /** Whether the call, not the move, gives back the place at the target. */
    private boolean targetTaken;

    private boolean stopping;

    private boolean streamBroken;
    private boolean ended;
    private long stoppedAtNanos;
    private long brokenAtNanos;
    private KvCacheCopy copy;

    GenerationMove(
            GenerationCall call, UpstreamSelector.Selection source, Duration timeLimit, TargetCriteria criteria) {
        this.call = call;
        this.components = call.components;
        this.source = source;
        this.sourceRun = call.runs().latestAt(source.upstream().instance());
        this.pacing = new MovePacing(timeLimit, fullCopyTime(call.plan));
        this.criteria = criteria;
        this.startedAtNanos = components.clock().nanos();
    }

    /** Returns a move of a generation whose stream from {@code source} broke. */
    static GenerationMove ofBrokenStream(GenerationCall call, UpstreamSelector.Selection source) {
        GenerationMove move = new GenerationMove(call, source, Duration.ZERO, TargetCriteria.PREFER_SAME_ZONE);
        move.streamBroken();
        return move;
    }

    private static Duration fullCopyTime(CallPlan plan) {
        return plan.service()
                .engine()
                .map(engine -> engine.copyTime(plan.promptTokens()))
                .orElse(Duration.ZERO);
    }

    void start() {
        call.trace.record(
                EventCode.GENERATION_MOVING,
                call.deadline.elapsedMillis(),
                Map.of(
                        "engine", source.upstream().instance(),
                        "time_left_ms", pacing.timeLimit().toMillis(),
                        "last_event", call.lastEventId()));
        components.metrics().increment("relay.generation.moves_started");
        findTarget();
    }

    /** Returns the engine that the generation is to leave. */
    UpstreamSelector.Selection source() {
        return source;
    }

    /** Called when the stream from the source broke: only the state held by the engine can still be moved. */
    void streamBroken() {
        streamBroken = true;
        brokenAtNanos = components.clock().nanos();
    }

    /** Called when the stream continues on the target. */
    void succeeded() {
        ended = true;
        long pauseNanos = components.clock().nanos() - stoppedAtNanos;
        components.metrics().recordMovePause(pauseNanos);
        call.trace.record(
                EventCode.GENERATION_MOVED,
                call.deadline.elapsedMillis(),
                Map.of(
                        "from", source.upstream().instance(),
                        "to", target.upstream().instance(),
                        "pause_ms", Duration.ofNanos(pauseNanos).toMillis()));
    }

    /** Called when the target rejected the continuation without executing it. */
    void continuationRefused(CallFailure failure) {
        String reason = "continuation refused: " + failure.getMessage();
        if (copy != null && !source.equals(target) && (excluded.size() < MAX_TARGETS || mayWaitStopped())) {
            recordStepFailure(reason);
            excluded.add(target.upstream().instance());
            releaseTarget();
            findTarget();
        } else {
            fail(reason);
        }
    }

    /** Called when the continuation failed after it may have begun; the call decides what becomes of the generation. */
    void continuationBroken(CallFailure failure) {
        fail("continuation broken: " + failure.getMessage());
    }

    /**
     * Cancels the move because the call has ended; releases the target, and the copy unless the generation may have
     * stopped.
     */
    void cancel() {
        if (!ended) {
            ended = true;
            releaseTarget();
            releaseCopy();
        }
    }

    private void findTarget() {
        if (ended) {
            return;
        }
        call.steps.runOnWorker(
                () -> components.selector().sampleTargets(call.plan, source.upstream()), sample -> components
                        .loadReader()
                        .refresh(sample)
                        .whenComplete((answered, error) -> call.steps.runOnContext(this::selectTarget)));
    }

    private void selectTarget() {
        Set<InstanceId> tried = Set.copyOf(excluded);
        TargetCriteria current = isAnyTargetBetterThanNone() ? criteria.withWait() : criteria;
        call.steps.runOnWorker(
                () -> components.selector().selectTarget(call.plan, source.upstream(), tried, current),
                found -> {
                    if (ended) {
                        found.ifPresent(this::releaseSelection);
                    } else if (found.isPresent()) {
                        target = found.get();
                        targetTaken = false;
                        startNextCopy();
                    } else if (mayWaitStopped()) {
                        // Those that refused it may have a free slot by then.
                        excluded.clear();
                        call.steps.runLater(STOPPED_RETRY_DELAY_MILLIS, this::findTarget);
                    } else if (excluded.isEmpty() && !pacing.isStopDue(elapsed())) {
                        call.steps.runLater(RETRY_DELAY_MILLIS, this::findTarget);
                    } else {
                        fail("no engine has room for the generation");
                    }
                },
                found -> found.ifPresent(this::releaseSelection));
    }

    /**
     * Returns whether a full target is tried too: the generation has waited for a free slot as long as it may, since it
     * neither runs nor waits any longer, or since the time of its source is nearly over.
     */
    private boolean isAnyTargetBetterThanNone() {
        return stopping ? !mayWaitStopped() : streamBroken || pacing.isStopDue(elapsed());
    }

    /** Returns whether the generation has stopped and may still wait until a target has a free slot. */
    private boolean mayWaitStopped() {
        return stopping && pacing.mayWaitStopped(since(stoppedAtNanos));
    }

    private void startNextCopy() {
        boolean stop = stopping || streamBroken || pacing.isOneCopyAllThatFits() || pacing.isStopDue(elapsed());
        requestCopy(stop);
    }

    private void requestCopy(boolean stop) {
        if (ended) {
            return;
        }
        if (components.upstreams().isQuiet(source.upstream().instance())) {
            retryStep(() -> requestCopy(stop), "the engine wants no request");
            return;
        }
        InstanceId targetId = target.upstream().instance();
        if (components.upstreams().isLeavingOrUnknown(targetId)
                || components.upstreams().isQuiet(targetId)) {
            tryNextTarget("the target is leaving too, or wants no request");
            return;
        }
        if (stop && !stopping) {
            stopping = true;
            stoppedAtNanos = components.clock().nanos();
        }
        int order = stop ? call.runs().recordOrder(sourceRun, call.deadline.elapsedMillis()) : NO_ORDER;
        long copyStartedAtNanos = components.clock().nanos();
        UpstreamSelector.Selection copyTarget = target;
        components
                .engineControl()
                .copy(source.upstream(), call.plan.request().id(), copyTarget.upstream(), stop)
                .whenComplete((result, error) -> call.steps.runOnContext(() -> {
                    if (order != NO_ORDER) {
                        call.runs().settleOrder(order, stateAfter(result, error), call.deadline.elapsedMillis());
                    }
                    if (ended || !copyTarget.equals(target)) {
                        return;
                    }
                    if (error != null) {
                        handleCopyFailure(CallFailure.from(error));
                    } else {
                        handleCopyResult(
                                result,
                                stop,
                                Duration.ofNanos(components.clock().nanos() - copyStartedAtNanos));
                    }
                }));
    }

    /** Returns what the answer to an order says of it, or its failure. */
    private static StopOrder.State stateAfter(CopyResult result, Throwable error) {
        if (error == null) {
            return result.status().stopOrderState();
        }
        return switch (CallFailure.from(error).kind()) {
            case UNAVAILABLE -> StopOrder.State.NOT_CARRIED_OUT;
            case UPSTREAM_ERROR -> StopOrder.State.ANSWERED;
            default -> StopOrder.State.UNANSWERED;
        };
    }

    private void handleCopyResult(CopyResult result, boolean stop, Duration took) {
        result.handle().ifPresent(handle -> copy = new KvCacheCopy(source.upstream(), handle));
        call.trace.record(
                EventCode.GENERATION_COPIED,
                call.deadline.elapsedMillis(),
                Map.of(
                        "from", source.upstream().instance(),
                        "to", target.upstream().instance(),
                        "other_zone",
                                !source.upstream()
                                        .zone()
                                        .equals(target.upstream().zone()),
                        "outcome", result.status(),
                        "stopped", stop,
                        "took_ms", took.toMillis()));
        if (result.status() == CopyResult.Status.COPIED && stop && copy != null) {
            continueOnTarget();
        } else if (result.status() == CopyResult.Status.COPIED) {
            requestCopy(pacing.isLastCopyDue(elapsed(), took));
        } else if (result.status() == CopyResult.Status.NO_RUN) {
            handleNotRunning(stop);
        } else if (result.status() == CopyResult.Status.BUSY) {
            retryStep(this::startNextCopy, "another copy of the generation is in progress");
        } else {
            tryNextTarget("the target has no room or is unreachable");
        }
    }

    /** Tries a step again soon, or lets the move fail if its time is over. */
    private void retryStep(Runnable step, String hindrance) {
        if (isInTime()) {
            call.steps.runLater(RETRY_DELAY_MILLIS, step);
        } else {
            fail(hindrance);
        }
    }

    /** Returns whether a step may be tried again; without its stream a generation waits at least like a stopped one. */
    private boolean isInTime() {
        if (stopping) {
            return mayWaitStopped();
        }
        return !pacing.isOver(elapsed()) || (streamBroken && pacing.mayWaitStopped(since(brokenAtNanos)));
    }

    /** Handles the answer that the source runs no such generation: it has not started, or has ended by itself. */
    private void handleNotRunning(boolean stop) {
        if (stop && !mayHaveStopped()) {
            stopping = false;
        }
        if (call.hasBegun() || streamBroken) {
            fail("the generation has already ended");
        } else {
            retryStep(this::startNextCopy, "the generation has not begun");
        }
    }

    private void tryNextTarget(String reason) {
        recordStepFailure(reason);
        excluded.add(target.upstream().instance());
        releaseTarget();
        boolean sourceLeaves =
                components.upstreams().isLeavingOrUnknown(source.upstream().instance());
        if (excluded.size() < MAX_TARGETS || (sourceLeaves && mayWaitStopped())) {
            findTarget();
        } else if (stopping && copy != null) {
            target = source;
            continueOnTarget();
        } else {
            fail(reason);
        }
    }

    private void continueOnTarget() {
        if (target.equals(source)) {
            call.returnTo(source);
        } else {
            call.moveTo(target);
        }
        targetTaken = true;
        call.continueOn(target, copy);
    }

    private void handleCopyFailure(CallFailure failure) {
        if (failure.kind() == ErrorKind.DEADLINE_EXCEEDED && !stopping) {
            recordStepFailure("the copy timed out; stopping the generation before the next copy");
            requestCopy(true);
        } else {
            fail("the engine does not copy: " + failure.getMessage());
        }
    }

    private void fail(String reason) {
        recordStepFailure(reason);
        if (!ended) {
            ended = true;
            releaseTarget();
            releaseCopy();
            components.metrics().increment("relay.generation.moves_failed");
            call.moves().failed();
        }
    }

    private boolean mayHaveStopped() {
        return call.runs().stopEvidence(sourceRun) != StopEvidence.NONE;
    }

    private void recordStepFailure(String reason) {
        call.trace.record(
                EventCode.GENERATION_MOVE_HINDERED,
                call.deadline.elapsedMillis(),
                Map.of("engine", source.upstream().instance(), "reason", reason, "stopped", mayHaveStopped()));
    }

    private void releaseTarget() {
        if (target != null && !targetTaken) {
            releaseSelection(target);
        }
        target = null;
    }

    /**
     * Releases the copy at both engines. The copy of a generation that may have stopped is kept, since nothing else is
     * left of the generation then; one at an engine that wants no request expires by itself.
     */
    private void releaseCopy() {
        boolean mayRequest = !components.upstreams().isQuiet(source.upstream().instance());
        if (copy != null && !mayHaveStopped() && mayRequest) {
            KvCacheCopy unused = copy;
            components.engineControl().release(unused).whenComplete((done, error) -> {
                if (error != null) {
                    recordStepFailure("releasing the copy failed: "
                            + CallFailure.from(error).getMessage());
                }
            });
        }
    }

    /** Releases a reservation; DRAINING counts as refused, which does not affect the health of the upstream. */
    private void releaseSelection(UpstreamSelector.Selection selection) {
        components.workers().executeOrRun(() -> components
                .selector()
                .recordResult(selection, CallResult.failed(ErrorKind.DRAINING)));
    }

    private Duration elapsed() {
        return since(startedAtNanos);
    }

    private Duration since(long nanos) {
        return Duration.ofNanos(components.clock().nanos() - nanos);
    }
}

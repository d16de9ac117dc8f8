package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.Ran;
import coriandersill.upstreams.Upstream;
import java.time.Duration;

/**
 * The moves of one generation, one at a time: starts them when its engine leaves or its stream breaks, and knows what
 * the call does if the current one fails.
 *
 * <p>Confined to the Vert.x context of the call, unless stated otherwise.
 */
final class GenerationMoves {
    /** The delay before another move after a failed one, while the engine is still leaving. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /** The maximum duration of a move after a failed one; short because most of the engine's notice period is over. */
    private static final Duration RETRY_TIME_LIMIT = Duration.ofMillis(500);

    /** The maximum duration of the move of a generation that started when its engine was already leaving. */
    private static final Duration LATE_MOVE_TIME_LIMIT = Duration.ofSeconds(1);

    private final GenerationCall call;
    private final RelayComponents components;

    /** Null if the generation is not being moved. */
    private GenerationMove current;

    private boolean recoveryAttempted;

    /** Runs if the current move fails; set when the stream ends or breaks during the move, otherwise null. */
    private Runnable onFailed;

    GenerationMoves(GenerationCall call) {
        this.call = call;
        this.components = call.components;
    }

    /** Returns whether the generation is being moved. */
    boolean isMoving() {
        return current != null;
    }

    /**
     * Schedules a move after {@code startIn} because the engine is leaving; may be called from any thread.
     *
     * @param timeLimit how long the move may take
     * @param criteria the criteria for selecting the target
     */
    void schedule(Upstream engine, Duration startIn, Duration timeLimit, TargetCriteria criteria) {
        call.steps.runOnContext(() -> {
            if (startIn.toMillis() <= 0) {
                startIfRunningOn(engine, timeLimit, criteria);
            } else {
                call.steps.runLater(startIn.toMillis(), () -> startIfRunningOn(engine, timeLimit, criteria));
            }
        });
    }

    private void startIfRunningOn(Upstream engine, Duration timeLimit, TargetCriteria criteria) {
        if (call.selection.upstream().instance().equals(engine.instance())) {
            start(timeLimit, criteria);
        }
    }

    /** Starts a move of a generation that has begun at {@code engine} if that one leaves. */
    void startIfLeaving(Upstream engine) {
        if (components.upstreams().isLeavingOrUnknown(engine.instance())) {
            start(LATE_MOVE_TIME_LIMIT, TargetCriteria.PREFER_SAME_ZONE);
        }
    }

    private void start(Duration timeLimit, TargetCriteria criteria) {
        if (call.steps.hasEnded() || current != null || call.exchange == null || !call.isMovable()) {
            return;
        }
        if (components.upstreams().isQuiet(call.selection.upstream().instance())) {
            call.steps.runLater(RETRY_DELAY_MILLIS, () -> start(RETRY_TIME_LIMIT, criteria));
        } else {
            current = new GenerationMove(call, call.selection, timeLimit, criteria);
            current.start();
        }
    }

    /**
     * Moves a generation whose stream from {@code source} broke, once, in case its engine still runs it; returns
     * whether a move has started.
     *
     * @param onMoveFailed runs if the move fails
     */
    boolean recover(UpstreamSelector.Selection source, Runnable onMoveFailed) {
        if (recoveryAttempted || !call.isMovable()) {
            return false;
        }
        recoveryAttempted = true;
        onFailed = onMoveFailed;
        current = GenerationMove.ofBrokenStream(call, source);
        current.start();
        return true;
    }

    /** Lets no generation be recovered, since there is nothing to recover from an engine that sends no valid stream. */
    void preventRecovery() {
        recoveryAttempted = true;
    }

    /** Called when the stream ended while the generation is moved: {@code judgeEnd} runs if the move fails. */
    void streamEnded(Runnable judgeEnd) {
        onFailed = judgeEnd;
    }

    /** Called when the stream from {@code source} broke while the generation is moved. */
    void streamBroken(UpstreamSelector.Selection source, CallFailure cause) {
        onFailed = () -> call.handleBrokenStream(source, cause);
        current.streamBroken();
    }

    /** Called when the generation goes on at the target of the current move. */
    void succeeded() {
        current.succeeded();
        current = null;
        onFailed = null;
    }

    /** Lets the move look for another target; if there is none, the stream that its source stopped is broken. */
    void continuationRefused(CallFailure refusal) {
        if (onFailed == null) {
            UpstreamSelector.Selection source = current.source();
            onFailed = () -> call.handleBrokenStream(source, refusal.withRan(Ran.UNKNOWN));
        }
        current.continuationRefused(refusal);
    }

    /** Called when a continuation at {@code target} failed after it may have begun. */
    void continuationBroken(UpstreamSelector.Selection target, CallFailure cause) {
        onFailed = () -> call.handleBrokenStream(target, cause);
        current.continuationBroken(cause);
    }

    /** Called when a move has failed: the generation continues on its engine or has ended there. */
    void failed() {
        current = null;
        Runnable pending = onFailed;
        onFailed = null;
        if (pending != null && !call.steps.hasEnded()) {
            pending.run();
        } else if (!call.steps.hasEnded()
                && components
                        .upstreams()
                        .isLeavingOrUnknown(call.selection.upstream().instance())) {
            call.steps.runLater(RETRY_DELAY_MILLIS, () -> start(RETRY_TIME_LIMIT, TargetCriteria.PREFER_SAME_ZONE));
        }
    }

    /** Cancels the current move, if any, because the call has ended. */
    void cancel() {
        if (current != null) {
            current.cancel();
            current = null;
        }
    }
}

package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.relay.CopyResult;
import coriandersill.relay.KvCacheCopy;
import coriandersill.routing.CallResult;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Moves one running generation to another engine.
 *
 * <p>The memory is copied while the run goes on, then what is new since, until a copying is so short that the caller
 * does not notice the pause or the time is nearly over. Then the run stops, the rest is copied, and the stream goes on
 * at the target. Confined to the context of its call.
 */
final class GenerationMove {
    /** A copying that takes no longer shows that little is left and that the link has no queue. */
    private static final Duration SHORT_COPY = Duration.ofMillis(60);

    /** The part of the engine's time left after which the run is stopped in any case. */
    private static final double STOP_PART = 0.75;

    /** How long to wait where the run has not begun, or another copying is under way. */
    private static final long AGAIN_MILLIS = 30;

    /** The most targets that are tried. */
    private static final int MOST_TARGETS = 4;

    private final GenerationCall call;
    private final RelayComponents parts;
    private final UpstreamSelector.Selection source;
    private final Duration timeLeft;
    private final TargetCriteria aim;
    private final long startedAt;
    private final Set<InstanceId> excluded = new HashSet<>();
    private UpstreamSelector.Selection target;
    private boolean stopping;
    private boolean streamBroke;
    private boolean over;
    private long stoppedAt;
    private KvCacheCopy copy;

    GenerationMove(GenerationCall call, UpstreamSelector.Selection source, Duration timeLeft, TargetCriteria aim) {
        this.call = call;
        this.parts = call.parts;
        this.source = source;
        this.timeLeft = timeLeft;
        this.aim = aim;
        this.startedAt = parts.clock().nanos();
    }

    void start() {
        call.trace.note(
                EventCode.GENERATION_MOVING,
                call.elapsedMillis(),
                Map.of(
                        "engine", source.upstream().instance(),
                        "time_left_ms", timeLeft.toMillis(),
                        "last_event", call.lastEventId()));
        parts.meters().count("relay.generation.moves_started");
        findTarget();
    }

    /** Whether the run was told to stop. */
    boolean stopping() {
        return stopping;
    }

    /** Hears that the run's stream broke: only what is at the engine can be saved. */
    void streamBroke() {
        streamBroke = true;
    }

    /** Hears that the stream goes on at the target. */
    void succeeded() {
        over = true;
        long pause = parts.clock().nanos() - stoppedAt;
        parts.meters().moved(pause);
        call.trace.note(
                EventCode.GENERATION_MOVED,
                call.elapsedMillis(),
                Map.of(
                        "from", source.upstream().instance(),
                        "to", target.upstream().instance(),
                        "pause_ms", Duration.ofNanos(pause).toMillis()));
    }

    /** Hears that the target did not take the continuation, which has not run. */
    void continuationRefused(CallFailure failure) {
        if (copy != null && !source.equals(target) && excluded.size() < MOST_TARGETS) {
            note("continuation refused: " + failure.getMessage());
            excluded.add(target.upstream().instance());
            target = null;
            findTarget();
        } else {
            fail("continuation refused: " + failure.getMessage());
        }
    }

    /** Lets go of the target; the call has ended. */
    void cancel() {
        if (!over) {
            over = true;
            releaseTarget();
            releaseCopy();
        }
    }

    private void findTarget() {
        if (over) {
            return;
        }
        call.onWorker(
                () -> parts.choice().targetSample(call.plan, source.upstream()),
                sample -> parts.loads().refresh(sample).thenAccept(answered -> call.onContext(this::chooseTarget)));
    }

    private void chooseTarget() {
        Set<InstanceId> tried = Set.copyOf(excluded);
        call.onWorker(() -> parts.choice().chooseTarget(call.plan, source.upstream(), tried, aim), found -> {
            if (over) {
                found.ifPresent(this::free);
            } else if (found.isPresent()) {
                target = found.get();
                copyOnce();
            } else if (excluded.isEmpty() && !late()) {
                parts.vertx().setTimer(AGAIN_MILLIS, timer -> findTarget());
            } else {
                fail("no engine takes it");
            }
        });
    }

    private void copyOnce() {
        boolean stop = stopping || streamBroke || late();
        copyNow(stop);
    }

    private void copyNow(boolean stop) {
        if (over) {
            return;
        }
        if (parts.upstreams().leaving(target.upstream().instance())) {
            targetFailed("the target leaves too");
            return;
        }
        if (stop && !stopping) {
            stopping = true;
            stoppedAt = parts.clock().nanos();
        }
        long began = parts.clock().nanos();
        UpstreamSelector.Selection to = target;
        parts.engines()
                .copy(source.upstream(), call.plan.request().id(), to.upstream(), stop)
                .whenComplete((result, error) -> parts.vertx().runOnContext(ignored -> {
                    if (over || !to.equals(target)) {
                        return;
                    }
                    if (error != null) {
                        sourceFailed(CallFailure.from(error));
                    } else {
                        copied(result, stop, Duration.ofNanos(parts.clock().nanos() - began));
                    }
                }));
    }

    private void copied(CopyResult result, boolean stop, Duration took) {
        result.handle().ifPresent(handle -> copy = new KvCacheCopy(source.upstream(), handle));
        call.trace.note(
                EventCode.GENERATION_COPIED,
                call.elapsedMillis(),
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
            call.continueAt(target, copy);
        } else if (result.status() == CopyResult.Status.COPIED) {
            copyNow(took.compareTo(SHORT_COPY) <= 0 || late());
        } else if (result.status() == CopyResult.Status.NO_RUN) {
            noRun(stop);
        } else if (result.status() == CopyResult.Status.BUSY) {
            parts.vertx().setTimer(AGAIN_MILLIS, timer -> copyOnce());
        } else {
            targetFailed("the target has no room");
        }
    }

    /** The run has not begun, or has ended by itself. */
    private void noRun(boolean stop) {
        if (stop) {
            stopping = false;
        }
        if (call.begun() || streamBroke) {
            fail("the run has ended");
        } else {
            parts.vertx().setTimer(AGAIN_MILLIS, timer -> copyOnce());
        }
    }

    private void targetFailed(String reason) {
        note(reason);
        excluded.add(target.upstream().instance());
        releaseTarget();
        if (excluded.size() < MOST_TARGETS) {
            findTarget();
        } else if (stopping && copy != null) {
            target = source;
            call.continueAt(source, copy);
        } else {
            fail(reason);
        }
    }

    private void sourceFailed(CallFailure failure) {
        if (failure.kind() == ErrorKind.DEADLINE_EXCEEDED && !stopping) {
            note("copying took too long");
            copyNow(true);
        } else {
            fail("the engine does not copy: " + failure.getMessage());
        }
    }

    private void fail(String reason) {
        note(reason);
        if (!over) {
            over = true;
            releaseTarget();
            releaseCopy();
            parts.meters().count("relay.generation.moves_failed");
            call.moveEnded();
        }
    }

    private void note(String reason) {
        call.trace.note(
                EventCode.GENERATION_MOVE_HINDERED,
                call.elapsedMillis(),
                Map.of("engine", source.upstream().instance(), "reason", reason, "stopped", stopping));
    }

    private void releaseTarget() {
        if (target != null && !source.equals(target)) {
            free(target);
            target = null;
        }
    }

    /** Frees the copy at both engines; that of a run that has stopped is all that is left of it and stays. */
    private void releaseCopy() {
        if (copy != null && !stopping) {
            KvCacheCopy unused = copy;
            parts.engines().release(unused).whenComplete((done, error) -> {
                if (error != null) {
                    note("the copy was not freed: " + CallFailure.from(error).getMessage());
                }
            });
        }
    }

    private void free(UpstreamSelector.Selection held) {
        parts.workers().executeOrRun(() -> parts.choice().finished(held, CallResult.failed(ErrorKind.DRAINING)));
    }

    private boolean late() {
        return parts.clock().nanos() - startedAt > timeLeft.toNanos() * STOP_PART;
    }
}

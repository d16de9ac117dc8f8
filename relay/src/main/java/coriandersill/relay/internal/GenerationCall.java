package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.relay.KvCacheCopy;
import coriandersill.routing.CallResult;
import coriandersill.upstreams.Upstream;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * A call whose response is the event stream of a generation.
 *
 * <p>Events are forwarded to the caller when they are complete, each once and in order. Bytes after the last complete
 * event are forwarded only when the stream ends without an error. If the generation moves to another engine, the stream
 * continues there with the next event.
 */
final class GenerationCall extends AbstractCall {
    /** The time within which a continuation must respond, otherwise it counts as failed. */
    private static final long CONTINUATION_TIMEOUT_MILLIS = 2_000;

    private final RunHistory runs;
    private final CallerStream callerStream;
    private final GenerationMoves moves;

    /** The response of the latest run; null if none was requested. */
    private GenerationStream latestStream;

    GenerationCall(
            RelayComponents components,
            CallPlan plan,
            Buffer body,
            CallerConnection caller,
            CallTrace trace,
            long arrivedAtNanos) {
        super(components, plan, body, caller, trace, arrivedAtNanos);
        this.runs = new RunHistory(trace, end -> components.metrics().countStreamEnd(end));
        this.callerStream = new CallerStream(this);
        this.moves = new GenerationMoves(this);
    }

    /** Returns the runs of the generation and the orders to stop them. */
    RunHistory runs() {
        return runs;
    }

    /** Returns the event stream to the caller. */
    CallerStream callerStream() {
        return callerStream;
    }

    /** Returns the moves of the generation. */
    GenerationMoves moves() {
        return moves;
    }

    /** Returns the identifier that the caller gave to the call. */
    String callId() {
        return plan.request().id();
    }

    @Override
    UpstreamExchange.Listener createListener(UpstreamSelector.Selection target) {
        return openStream(target, false);
    }

    private GenerationStream openStream(UpstreamSelector.Selection target, boolean continuation) {
        GenerationStream stream =
                new GenerationStream(this, target, runs.begin(target.upstream().instance()), continuation);
        releaseStream();
        latestStream = stream;
        return stream;
    }

    private void releaseStream() {
        if (latestStream != null) {
            latestStream.releaseMemory();
        }
    }

    @Override
    long lastEventId() {
        return callerStream.lastEventId();
    }

    @Override
    boolean hasBegun() {
        return callerStream.eventCount() > 0;
    }

    @Override
    boolean mayRunWithoutExchange() {
        return moves.isMoving();
    }

    @Override
    long unresumableEvents() {
        return plan.route().resumable() ? 0 : deliveredEvents();
    }

    @Override
    long deliveredEvents() {
        return callerStream.eventCount();
    }

    @Override
    Duration timeToFirstEvent() {
        return callerStream.timeToFirstEvent().orElseGet(super::timeToFirstEvent);
    }

    @Override
    Map<String, ?> runDetails(UpstreamSelector.Selection target) {
        return Map.of("run", runs.latestAt(target.upstream().instance()).number());
    }

    @Override
    void releaseResources() {
        if (selection != null) {
            components.generations().remove(selection.upstream().instance(), this);
        }
        releaseStream();
        moves.cancel();
    }

    /** Returns whether the call waits for the response of {@code target} or reads it. */
    boolean isWaitingFor(UpstreamSelector.Selection target) {
        return exchange != null && selection.equals(target) && !steps.hasEnded();
    }

    /** Returns whether the generation may be sent to another engine, because it has not begun and may run twice. */
    boolean isRestartable() {
        return plan.route().resumable() && !hasBegun();
    }

    /** Sends the generation to another engine if it waits at {@code engine}; may be called from any thread. */
    void restartElsewhere(Upstream engine) {
        steps.runOnContext(() -> {
            boolean waits =
                    selection != null && selection.upstream().instance().equals(engine.instance()) && isRestartable();
            if (waits && exchange != null) {
                components.generations().remove(engine.instance(), this);
                attempts.restartElsewhere("waits at an engine that leaves");
            }
        });
    }

    /**
     * Returns whether the generation is to be moved if its engine leaves. Generations of resumable routes are not: they
     * are short, and end or start again elsewhere sooner than a move takes.
     */
    boolean isMovable() {
        return plan.service().engine().filter(engine -> engine.supportsMoves()).isPresent()
                && !plan.route().resumable();
    }

    /** Called when the generation has stopped: gives back its place, and takes over that of the move at its target. */
    void moveTo(UpstreamSelector.Selection target) {
        leaveEngine();
        // The engine ran the generation without an error.
        place.recordResult(selection, CallResult.ok(0, 0, 0));
        switchTo(target);
    }

    /** Called when the generation has stopped: goes back to the engine that it was to leave. */
    void returnTo(UpstreamSelector.Selection source) {
        leaveEngine();
        switchBackTo(source);
    }

    private void leaveEngine() {
        if (exchange != null) {
            exchange.cancel();
        }
        components.generations().remove(selection.upstream().instance(), this);
    }

    /** Continues the generation from a copy on the engine that it just moved or returned to. */
    void continueOn(UpstreamSelector.Selection target, KvCacheCopy copy) {
        GenerationStream stream = openStream(target, true);
        exchange = UpstreamExchange.start(
                components.client(),
                components.codec(),
                upstreamCall(target, lastEventId(), Optional.of(copy)),
                body,
                stream,
                steps.guard());
        UpstreamExchange continuation = exchange;
        steps.runLater(CONTINUATION_TIMEOUT_MILLIS, () -> {
            if (exchange == continuation) {
                stream.failIfNoHead();
            }
        });
    }

    /**
     * Handles a broken stream. A generation that cannot be resumed by another run is moved once, in case its engine
     * still runs it; otherwise the attempt fails and may be retried.
     */
    void handleBrokenStream(UpstreamSelector.Selection target, CallFailure failure) {
        boolean unresumable = !plan.route().resumable() && hasBegun();
        if (unresumable && moves.recover(target, () -> handleBrokenStream(target, failure))) {
            return;
        }
        components.generations().remove(target.upstream().instance(), this);
        attempts.failed(target, unresumable ? interrupted(failure) : failure);
    }

    private static CallFailure interrupted(CallFailure failure) {
        return CallFailure.of(ErrorKind.GENERATION_INTERRUPTED, failure.getMessage());
    }
}

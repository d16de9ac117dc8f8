package coriandersill.relay.internal;

import coriandersill.connections.GuardedPort;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import coriandersill.core.Ran;
import coriandersill.events.CallGuard;
import coriandersill.events.EventCode;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import coriandersill.relay.CallRequest;
import coriandersill.routing.DrainAdmission;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * HTTP server for callers: reads each request completely and starts a call for it. While it is stopping, it accepts
 * only calls that are likely to end before the stop, and later only those that surely do.
 */
final class RelayServer implements ManagedService {
    /** The bound of the decoder; the configured limit is checked after it. */
    private static final int MAX_HEADER_BYTES = 65_536;

    private static final int ACCEPT_BACKLOG = 1_024;

    /** The interval at which a stopping server checks whether its calls have ended. */
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;

    /** The minimum time that a stopping server keeps listening, until the load balancer and callers have noticed. */
    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(2_500);

    /** How long before its end a stopping server answers the calls that have no answer yet. */
    private static final Duration FINAL_ANSWER_TIME = Duration.ofMillis(250);

    private static final int MAX_LOGGED_CALLS = 20;

    /** The time that a caller has to read its rejection before its connection, on which it still sends, is closed. */
    private static final long REJECTION_READ_TIME_MILLIS = 250;

    /** The time without a step from which the drain counts as stalled. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(1);

    /** The identifier in events of a request whose own could not be read. */
    private static final String UNKNOWN_CALL = "unknown";

    /** The time left assumed for rejected calls, whose deadline may be unknown; only bounds the Retry-After header. */
    private static final Duration REJECTED_CALL_TIME_LEFT = Duration.ofSeconds(1);

    private final RelayComponents components;
    private final GuardedPort port;
    private final AtomicInteger openCalls = new AtomicInteger();
    private final CallerConnections connections = new CallerConnections();
    private final LoopGuard drainGuard;
    private HttpServer server;
    private volatile long stopStartedAtNanos;
    private volatile long stopAtNanos;
    private volatile boolean stopping;

    RelayServer(RelayComponents components, GuardedPort port, Loops loops) {
        this.components = components;
        this.port = port;
        this.drainGuard = loops.register("drain of the calls", STALL_BOUND);
    }

    @Override
    public CompletableFuture<Void> start() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(components.settings().host())
                .setPort(components.settings().port())
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setIdleTimeout(0);
        GuardedPort.limit(options, MAX_HEADER_BYTES);
        port.start(components.vertx());
        server = components
                .vertx()
                .createHttpServer(options)
                .connectionHandler(connection -> {
                    connections.add(connection);
                    port.add(connection);
                })
                .requestHandler(this::handleRequest);
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    /** Returns whether the server is stopping. */
    boolean stopping() {
        return stopping;
    }

    /** Returns the number of open calls, including those whose request is still being received. */
    int openCalls() {
        return openCalls.get();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        if (stopping) {
            drained.complete(null);
            return drained;
        }
        stopStartedAtNanos = components.clock().nanos();
        stopAtNanos = stopStartedAtNanos + grace.toNanos();
        stopping = true;
        components
                .vertx()
                .setPeriodic(
                        DRAIN_POLL_INTERVAL_MILLIS,
                        timer -> drainGuard.runPeriodic(() -> {
                            Duration elapsed =
                                    Duration.ofNanos(components.clock().nanos() - stopStartedAtNanos);
                            if (elapsed.compareTo(grace) > 0) {
                                cutOff(timer, drained);
                            } else if (!continueDraining(elapsed, grace)) {
                                endDrain(timer, drained);
                            }
                        }));
        return drained;
    }

    /** Ends the stop although calls are open. */
    private void cutOff(long timer, CompletableFuture<Void> drained) {
        try {
            recordCutCalls(Duration.ofNanos(components.clock().nanos() - stopStartedAtNanos));
        } finally {
            endDrain(timer, drained);
        }
    }

    private void endDrain(long timer, CompletableFuture<Void> drained) {
        drainGuard.rest();
        components.vertx().cancelTimer(timer);
        server.close().onComplete(closed -> drained.complete(null));
    }

    /** Takes the steps of a stop that are due {@code elapsed} after its start; returns whether there are more. */
    private boolean continueDraining(Duration elapsed, Duration grace) {
        if (elapsed.compareTo(grace.minus(FINAL_ANSWER_TIME)) > 0) {
            drainGuard.forEach(components.openCalls().all(), AbstractCall::answerBeforeStop);
        }
        if (elapsed.compareTo(MIN_DRAIN_TIME) > 0) {
            connections.closeIdle();
            return openCalls.get() > 0;
        }
        return true;
    }

    /** Records what the end of the stop cuts off, {@code elapsed} after its start. */
    private void recordCutCalls(Duration elapsed) {
        components.events().record(EventCode.DRAIN_DEADLINE, Map.of("open", openCalls.get()));
        components.openCalls().all().stream().limit(MAX_LOGGED_CALLS).forEach(call -> components
                .events()
                .record(
                        EventCode.DRAIN_DEADLINE,
                        Map.of(
                                "call", call.plan.request().id(),
                                "taken_after_stop_ms", elapsed.toMillis() - call.deadline.elapsedMillis(),
                                "begun", call.caller.hasBegun(),
                                "events", call.deliveredEvents())));
    }

    private void handleRequest(HttpServerRequest request) {
        openCalls.incrementAndGet();
        connections.callStarted(request.connection());
        CallerConnection caller = new CallerConnection(request, () -> stopping, () -> {
            openCalls.decrementAndGet();
            connections.callEnded(request.connection());
        });
        guard(caller, UNKNOWN_CALL).run(() -> readRequest(request, caller));
    }

    /** Returns the guard of a request that no upstream has yet. */
    private CallGuard guard(CallerConnection caller, String id) {
        return new CallGuard(
                components.events(), id, failure -> rejectCall(caller, id, failure.withRan(Ran.NO)), caller::abandon);
    }

    private void readRequest(HttpServerRequest request, CallerConnection caller) {
        long arrivedAtNanos = components.clock().nanos();
        CallRequest decoded;
        try {
            decoded = components.codec().decode(request);
        } catch (CallFailure malformed) {
            rejectCall(caller, UNKNOWN_CALL, malformed);
            return;
        }
        long maxBytes = components.planner().maxBodyBytes();
        BodyBuffer body = new BodyBuffer(
                components.bodyMemory(), maxBytes, change -> GuardedPort.addHeld(request.connection(), change));
        GuardedPort.onRelease(request.connection(), body, body::release);
        caller.onEnd(() -> {
            body.release();
            GuardedPort.released(request.connection(), body);
        });
        CallGuard guard = guard(caller, decoded.id());
        request.handler(bytes -> guard.run(() -> {
            BodyBuffer.Outcome outcome = body.append(bytes);
            if (outcome != BodyBuffer.Outcome.ADDED) {
                request.endHandler(ignored -> {});
                // The caller sends no more while nothing is read, and has time to read its answer before the close.
                request.pause();
                rejectCall(caller, decoded.id(), bodyFailure(outcome, maxBytes));
                components.vertx().setTimer(REJECTION_READ_TIME_MILLIS, timer -> caller.closeConnection());
            }
        }));
        request.endHandler(end -> guard.run(() -> planCall(decoded, body.bytes(), caller, arrivedAtNanos, guard)));
    }

    private static CallFailure bodyFailure(BodyBuffer.Outcome outcome, long maxBytes) {
        return outcome == BodyBuffer.Outcome.TOO_LARGE
                ? CallFailure.of(ErrorKind.INVALID_REQUEST, "body: expected at most " + maxBytes + " bytes, found more")
                : CallFailure.of(ErrorKind.OVERLOADED, "body: no memory for the bodies of further calls");
    }

    private void planCall(
            CallRequest request, Buffer body, CallerConnection caller, long arrivedAtNanos, CallGuard guard) {
        Context context = components.vertx().getOrCreateContext();
        components
                .workers()
                .submit(() -> components.planner().plan(request))
                .whenComplete((plan, error) -> context.runOnContext(ignored -> guard.run(() -> {
                    if (error != null) {
                        rejectCall(caller, request.id(), CallFailure.from(error).withRan(Ran.NO));
                    } else {
                        startCall(plan, body, caller, arrivedAtNanos);
                    }
                })));
    }

    private void startCall(CallPlan plan, Buffer body, CallerConnection caller, long arrivedAtNanos) {
        if (caller.isClosed()) {
            return;
        }
        if (stopping && !canEndBeforeStop(plan)) {
            rejectCall(
                    caller,
                    plan.request().id(),
                    CallFailure.of(ErrorKind.DRAINING, "this entry stops before the call would end")
                            .withRetryAfter(AbstractCall.RETRY_AFTER_STOP));
            return;
        }
        CallTrace trace = new CallTrace(components.events(), plan.request().id());
        trace.record(
                EventCode.CALL_TAKEN,
                0,
                Map.of(
                        "parts", plan.sharedParts(),
                        "route", plan.route().name(),
                        "service", plan.service().name(),
                        "workspace", plan.workspace().map(Object::toString).orElse(""),
                        "allowed_ms", plan.timeLimit().toMillis(),
                        "prompt_tokens", plan.promptTokens(),
                        "catalog", plan.catalogVersion()));
        AbstractCall call =
                switch (plan.route().kind()) {
                    case GENERATION -> new GenerationCall(components, plan, body, caller, trace, arrivedAtNanos);
                    case IDEMPOTENT, AT_MOST_ONCE -> new PlainCall(
                            components, plan, body, caller, trace, arrivedAtNanos);
                };
        call.start();
    }

    /**
     * Returns whether a call that arrives while the entry is stopping is likely to end before the stop; later than
     * {@link #MIN_DRAIN_TIME} after the start of the stop, whether it surely does.
     */
    private boolean canEndBeforeStop(CallPlan plan) {
        long now = components.clock().nanos();
        Duration left = Duration.ofNanos(stopAtNanos - now).minus(FINAL_ANSWER_TIME);
        OptionalInt maxOutputTokens = plan.request()
                .prompt()
                .map(prompt -> OptionalInt.of(prompt.maxOutputTokens()))
                .orElse(OptionalInt.empty());
        Optional<Duration> slowest = components.openCalls().slowest(plan.route().name());
        DrainAdmission.DrainingCall call = new DrainAdmission.DrainingCall(plan.timeLimit(), maxOutputTokens, slowest);
        return now - stopStartedAtNanos > MIN_DRAIN_TIME.toNanos()
                ? DrainAdmission.surelyEnds(call, left)
                : DrainAdmission.probablyEnds(call, left);
    }

    private void rejectCall(CallerConnection caller, String id, CallFailure failure) {
        components.metrics().countFailure(failure.kind());
        components
                .events()
                .record(
                        EventCode.CALL_REFUSED,
                        Map.of("call", id, "failure", failure.kind(), "detail", String.valueOf(failure.getMessage())));
        caller.fail(failure, REJECTED_CALL_TIME_LEFT);
    }
}

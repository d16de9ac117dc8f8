package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import coriandersill.events.EventCode;
import coriandersill.relay.CallRequest;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Takes callers' requests whole and starts a call for each. */
final class RelayServer implements ManagedService {
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int BACKLOG = 1_024;

    /** How often a stopping server looks whether its calls have ended. */
    private static final long DRAIN_STEP_MILLIS = 50;

    /** A stopping server stays at least so long, while callers learn of it and new connections go elsewhere. */
    private static final Duration SHORTEST_DRAIN = Duration.ofMillis(2_500);

    /** How long an engine that is busy takes to read a long prompt. */
    private static final Duration PROMPT_TIME = Duration.ofMillis(1_500);

    /** How long an engine that is busy takes for a token. */
    private static final Duration TOKEN_TIME = Duration.ofMillis(15);

    /** Another entry takes the call at once. */
    private static final Duration COME_BACK_ELSEWHERE = Duration.ofMillis(10);

    private final RelayComponents parts;
    private final AtomicInteger open = new AtomicInteger();
    private HttpServer server;
    private volatile long stopsAt;
    private volatile boolean stopping;

    RelayServer(RelayComponents parts) {
        this.parts = parts;
    }

    @Override
    public CompletableFuture<Void> start() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(parts.settings().host())
                .setPort(parts.settings().port())
                .setAcceptBacklog(BACKLOG)
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setIdleTimeout(0);
        server = parts.vertx().createHttpServer(options).requestHandler(this::take);
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    /** Whether the server is on its way out. */
    boolean stopping() {
        return stopping;
    }

    /** Calls that are open now. */
    int open() {
        return open.get();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        if (stopping) {
            drained.complete(null);
            return drained;
        }
        long begun = parts.clock().nanos();
        stopsAt = begun + grace.toNanos();
        stopping = true;
        parts.vertx().setPeriodic(DRAIN_STEP_MILLIS, timer -> {
            long past = parts.clock().nanos() - begun;
            boolean idle = open.get() == 0 && past > SHORTEST_DRAIN.toNanos();
            if (idle || past > grace.toNanos()) {
                parts.vertx().cancelTimer(timer);
                if (!idle) {
                    parts.events().record(EventCode.DRAIN_DEADLINE, Map.of("open", open.get()));
                }
                server.close().onComplete(closed -> drained.complete(null));
            }
        });
        return drained;
    }

    private void take(HttpServerRequest request) {
        long arrived = parts.clock().nanos();
        open.incrementAndGet();
        CallerConnection caller = new CallerConnection(request, () -> stopping, open::decrementAndGet);
        CallRequest decoded;
        try {
            decoded = parts.codec().decode(request);
        } catch (CallFailure malformed) {
            refuse(caller, "unknown", malformed);
            return;
        }
        Buffer body = Buffer.buffer();
        long largest = parts.planner().largestBody();
        request.handler(bytes -> {
            if (body.length() <= largest) {
                body.appendBuffer(bytes);
            }
        });
        request.endHandler(whole -> {
            if (body.length() > largest) {
                refuse(
                        caller,
                        decoded.id(),
                        CallFailure.of(ErrorKind.INVALID_REQUEST, "body: expected at most " + largest + " bytes"));
            } else {
                plan(decoded, body, caller, arrived);
            }
        });
    }

    private void plan(CallRequest request, Buffer body, CallerConnection caller, long arrived) {
        Context context = parts.vertx().getOrCreateContext();
        parts.workers()
                .submit(() -> parts.planner().plan(request))
                .whenComplete((plan, error) -> context.runOnContext(ignored -> {
                    if (error != null) {
                        refuse(caller, request.id(), CallFailure.from(error));
                    } else {
                        begin(plan, body, caller, arrived);
                    }
                }));
    }

    private void begin(CallPlan plan, Buffer body, CallerConnection caller, long arrived) {
        if (stopping && !endsInTime(plan)) {
            refuse(
                    caller,
                    plan.request().id(),
                    CallFailure.of(ErrorKind.DRAINING, "this entry stops before the call would end")
                            .withRetryAfter(COME_BACK_ELSEWHERE));
            return;
        }
        CallTrace trace = new CallTrace(parts.events(), plan.request().id());
        trace.note(
                EventCode.CALL_TAKEN,
                0,
                Map.of(
                        "route", plan.route().name(),
                        "service", plan.service().name(),
                        "workspace", plan.workspace().map(Object::toString).orElse(""),
                        "allowed_ms", plan.timeAllowed().toMillis(),
                        "prompt_tokens", plan.promptTokens(),
                        "catalog", plan.catalogVersion()));
        AbstractCall call =
                switch (plan.route().kind()) {
                    case GENERATION -> new GenerationCall(parts, plan, body, caller, trace, arrived);
                    case IDEMPOTENT, ONCE -> new PlainCall(parts, plan, body, caller, trace, arrived);
                };
        call.start();
    }

    /** Whether a call that comes while the entry stops is likely to end before it does. */
    private boolean endsInTime(CallPlan plan) {
        long left = stopsAt - parts.clock().nanos();
        long needed = plan.request()
                .prompt()
                .map(prompt -> PROMPT_TIME.plus(TOKEN_TIME.multipliedBy(prompt.maxOutputTokens())))
                .orElse(plan.timeAllowed())
                .toNanos();
        return Math.min(needed, plan.timeAllowed().toNanos()) < left;
    }

    private void refuse(CallerConnection caller, String id, CallFailure failure) {
        parts.meters().failed(failure.kind());
        parts.events()
                .record(
                        EventCode.CALL_REFUSED,
                        Map.of("call", id, "failure", failure.kind(), "detail", String.valueOf(failure.getMessage())));
        Duration longest = Duration.ofNanos(TimeUnit.SECONDS.toNanos(1));
        caller.fail(failure, longest);
    }
}

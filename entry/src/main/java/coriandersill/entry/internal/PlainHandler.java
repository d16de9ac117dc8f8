package coriandersill.entry.internal;

import coriandersill.configuration.PlainRoute;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.entry.OnceOnlyCalls;
import coriandersill.wire.Message;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Serves plain services by path: {@code /services/NAME/PATH}, any method. */
final class PlainHandler {
    static final String PREFIX = "/services/";
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "http2-settings",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final CallService calls;
    private final OnceOnlyCalls onceOnly;

    PlainHandler(CallService calls, OnceOnlyCalls onceOnly) {
        this.calls = calls;
        this.onceOnly = onceOnly;
    }

    void handle(HttpServerRequest request, byte[] body) {
        Context context = calls.entry().vertx().getOrCreateContext();
        Received received = received(request, body);
        calls.entry()
                .workers()
                .submit(() -> plan(received))
                .whenComplete((plan, error) -> context.runOnContext(now -> {
                    if (error != null) {
                        Responses.fail(request.response(), CallFailure.from(error));
                    } else if (plan.repeatable()) {
                        run(request.response(), plan, Optional.empty(), Optional.empty());
                    } else {
                        claim(request.response(), received, plan, context);
                    }
                }));
    }

    /** A request as it came; headers are copied, since the request belongs to its event loop. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Received(
            String method, String uri, String authorization, String key, List<Message.Header> headers, byte[] body) {}

    private static Received received(HttpServerRequest request, byte[] body) {
        List<Message.Header> headers = new ArrayList<>();
        request.headers().forEach((name, value) -> {
            if (!NOT_PASSED_ON.contains(name.toLowerCase(Locale.ROOT)) && !name.startsWith(":")) {
                headers.add(new Message.Header(name, value));
            }
        });
        return new Received(
                request.method().name(),
                request.uri(),
                request.getHeader("Authorization"),
                request.getHeader(KEY_HEADER),
                headers,
                body);
    }

    private CallPlan plan(Received received) {
        calls.checkOpen();
        WorkspaceDocument workspace = calls.authenticate(received.authorization());
        String rest = received.uri().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ServiceDocument service = calls.service(workspace, name, ServiceKind.PLAIN);
        PlainRoute route = service.routes().stream()
                .filter(candidate -> candidate.matches(received.method(), path))
                .findFirst()
                .orElseThrow(() -> CallFailure.of(
                        ErrorKind.NOT_FOUND,
                        "service " + name + " has no route for " + received.method() + " " + path));
        if (!route.repeatable() && received.key() == null) {
            throw CallFailure.of(
                    ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
                    KEY_HEADER + ": expected a UUID of version 7, found none; route " + route.name()
                            + " may not be repeated");
        }
        CallPlan plan = new CallPlan(
                calls.newId(),
                workspace,
                service,
                route.name(),
                new Message.UpstreamRequest(false, received.method(), path, received.headers(), received.body()),
                route.repeatable(),
                Hashes.of(workspace.name().value().getBytes(StandardCharsets.UTF_8)),
                0,
                0,
                calls.deadlineNanos());
        calls.charge(plan);
        return plan;
    }

    private void claim(HttpServerResponse response, Received received, CallPlan plan, Context context) {
        onceOnly.claim(plan.workspace().name(), received.key(), identity(plan))
                .whenComplete((claim, error) -> context.runOnContext(now -> {
                    if (error != null) {
                        calls.settle(plan, 0);
                        Responses.fail(response, CallFailure.from(error));
                    } else if (claim instanceof OnceOnlyCalls.Claim.Replayed replayed) {
                        calls.settle(plan, 0);
                        replay(response, replayed);
                    } else if (claim instanceof OnceOnlyCalls.Claim.Won won) {
                        Message.OnceOnly carried =
                                new Message.OnceOnly(received.key(), won.fencingToken(), new Message.Stamp(0, 0));
                        run(response, plan, Optional.of(carried), Optional.of(won));
                    }
                }));
    }

    /** What a key stands for: service, method, path and body. */
    private static byte[] identity(CallPlan plan) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String head = plan.service().name() + "\n" + plan.work().method() + "\n"
                + plan.work().path() + "\n";
        bytes.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(plan.work().body());
        return bytes.toByteArray();
    }

    private static void replay(HttpServerResponse response, OnceOnlyCalls.Claim.Replayed replayed) {
        response.setStatusCode(replayed.status());
        response.putHeader("Idempotent-Replayed", "true");
        if (!replayed.bodyKept()) {
            response.putHeader("Idempotent-Body", "not-kept");
        }
        if (!replayed.contentType().isEmpty()) {
            response.putHeader("Content-Type", replayed.contentType());
        }
        response.end(Buffer.buffer(replayed.body()));
    }

    private void run(
            HttpServerResponse response,
            CallPlan plan,
            Optional<Message.OnceOnly> carried,
            Optional<OnceOnlyCalls.Claim.Won> won) {
        response.putHeader("X-Request-Id", plan.id().toString());
        CallDriver driver = calls.open(plan, carried, new PlainSink(response));
        if (plan.repeatable()) {
            response.exceptionHandler(error -> driver.cancel());
            response.closeHandler(closed -> driver.cancel());
        }
        driver.start().thenAccept(ending -> {
            calls.settle(plan, 0);
            won.ifPresent(claim -> settle(claim, ending));
        });
    }

    private void settle(OnceOnlyCalls.Claim.Won claim, CallDriver.Ending ending) {
        if (ending.response().isPresent()) {
            Message.PlainResponse answer = ending.response().get();
            onceOnly.completed(claim, answer.status(), contentType(answer), answer.body());
        } else if (ending.failure().filter(failure -> failure.ran() == Ran.NO).isPresent()) {
            onceOnly.released(claim);
        } else {
            onceOnly.abandoned(claim);
        }
    }

    private static String contentType(Message.PlainResponse answer) {
        return answer.headers().stream()
                .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
                .map(Message.Header::value)
                .findFirst()
                .orElse("");
    }
}

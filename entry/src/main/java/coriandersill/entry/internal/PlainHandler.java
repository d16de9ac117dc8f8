package coriandersill.entry.internal;

import coriandersill.configuration.PlainRoute;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.entry.IdempotencyClaims;
import coriandersill.events.CallGuard;
import coriandersill.quarantine.CallTraits;
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
import java.util.concurrent.CompletableFuture;

/** Serves plain services at {@code /services/NAME/PATH}, with any method. */
final class PlainHandler {
    static final String PATH_PREFIX = "/services/";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** Headers that concern only the connection to the caller, and the caller's API key. */
    private static final Set<String> NOT_FORWARDED_HEADERS = Set.of(
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
    private final WholeResponses responses;
    private final IdempotencyClaims claims;

    PlainHandler(CallService calls, WholeResponses responses, IdempotencyClaims idempotencyClaims) {
        this.calls = calls;
        this.responses = responses;
        this.claims = idempotencyClaims;
    }

    void handle(HttpServerRequest httpRequest, byte[] body) {
        Context context = calls.entry().vertx().getOrCreateContext();
        CallGuard guard = ErrorResponses.guard(calls.entry().events(), httpRequest.response());
        PlainRequest request = readRequest(httpRequest, body);
        calls.entry()
                .workers()
                .submit(() -> plan(request))
                .whenComplete((plan, error) -> context.runOnContext(ignored -> guard.run(() -> {
                    if (error != null) {
                        ErrorResponses.send(httpRequest.response(), CallFailure.from(error));
                    } else if (plan.repeatable()) {
                        startCall(httpRequest, plan, Optional.empty(), Optional.empty(), guard);
                    } else {
                        claim(httpRequest, request, plan, context, guard);
                    }
                })));
    }

    /** A copy of a request, for use on other threads; the HTTP request itself is confined to its event loop. */
    @SuppressWarnings("ArrayRecordComponent")
    private record PlainRequest(
            String method,
            String uri,
            String authorization,
            String idempotencyKey,
            List<Message.Header> headers,
            byte[] body) {}

    private static PlainRequest readRequest(HttpServerRequest httpRequest, byte[] body) {
        List<Message.Header> headers = new ArrayList<>();
        httpRequest.headers().forEach((name, value) -> {
            if (!NOT_FORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT)) && !name.startsWith(":")) {
                headers.add(new Message.Header(name, value));
            }
        });
        return new PlainRequest(
                httpRequest.method().name(),
                httpRequest.uri(),
                httpRequest.getHeader("Authorization"),
                httpRequest.getHeader(IDEMPOTENCY_KEY_HEADER),
                headers,
                body);
    }

    private CallPlan plan(PlainRequest request) {
        calls.checkNotDraining();
        WorkspaceDocument workspace = calls.authenticate(request.authorization());
        String target = request.uri().substring(PATH_PREFIX.length());
        int slash = target.indexOf('/');
        String name = slash < 0 ? target : target.substring(0, slash);
        String path = slash < 0 ? "/" : target.substring(slash);
        ServiceDocument service = calls.service(workspace, name, ServiceKind.PLAIN);
        PlainRoute route = service.routes().stream()
                .filter(candidate -> candidate.matches(request.method(), path))
                .findFirst()
                .orElseThrow(() -> CallFailure.of(
                        ErrorKind.NOT_FOUND, "service " + name + " has no route for " + request.method() + " " + path));
        if (!route.repeatable() && request.idempotencyKey() == null) {
            throw CallFailure.of(
                    ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
                    IDEMPOTENCY_KEY_HEADER + ": expected a UUID of version 7, found none; route " + route.name()
                            + " may not be repeated");
        }
        CallPlan plan = new CallPlan(
                calls.newCallId(),
                workspace,
                service,
                route.name(),
                new Message.UpstreamRequest(false, request.method(), path, request.headers(), request.body()),
                route.repeatable(),
                Hashes.sha256Prefix(workspace.name().value().getBytes(StandardCharsets.UTF_8)),
                0,
                0,
                CallTraits.of(Optional.of(workspace.name()), List.of()),
                calls.deadlineNanos());
        calls.acquireQuota(plan);
        return plan;
    }

    private void claim(
            HttpServerRequest httpRequest, PlainRequest request, CallPlan plan, Context context, CallGuard guard) {
        requestClaim(request, plan)
                .whenComplete((claim, error) -> context.runOnContext(ignored -> guard.run(() -> {
                    if (error != null) {
                        calls.settleQuota(plan, 0);
                        ErrorResponses.send(httpRequest.response(), CallFailure.from(error));
                    } else if (claim instanceof IdempotencyClaims.Claim.Replayed replayed) {
                        calls.settleQuota(plan, 0);
                        replay(httpRequest, replayed, plan.deadlineNanos());
                    } else if (claim instanceof IdempotencyClaims.Claim.Won won) {
                        // A placeholder stamp: the driver replaces it by that of the selected sidecar for each attempt.
                        Message.OnceOnly onceOnly = new Message.OnceOnly(
                                request.idempotencyKey(), won.fencingToken(), new Message.Stamp(0, 0));
                        startCall(httpRequest, plan, Optional.of(onceOnly), Optional.of(won), guard);
                    }
                })));
    }

    /** Claims the key of a call; the future fails with whatever the claim throws. */
    private CompletableFuture<IdempotencyClaims.Claim> requestClaim(PlainRequest request, CallPlan plan) {
        try {
            return claims.claim(plan.workspace().name(), request.idempotencyKey(), requestIdentity(plan));
        } catch (RuntimeException | Error error) {
            return CompletableFuture.failedFuture(error);
        }
    }

    /** Returns the identity of a request for its idempotency key: service, method, path and body. */
    private static byte[] requestIdentity(CallPlan plan) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String head = plan.service().name() + "\n" + plan.upstreamRequest().method() + "\n"
                + plan.upstreamRequest().path() + "\n";
        bytes.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(plan.upstreamRequest().body());
        return bytes.toByteArray();
    }

    private void replay(HttpServerRequest httpRequest, IdempotencyClaims.Claim.Replayed replayed, long deadlineNanos) {
        HttpServerResponse response = httpRequest.response();
        response.setStatusCode(replayed.status());
        response.putHeader("Idempotent-Replayed", "true");
        if (!replayed.bodyKept()) {
            response.putHeader("Idempotent-Body", "not-kept");
        }
        if (!replayed.contentType().isEmpty()) {
            response.putHeader("Content-Type", replayed.contentType());
        }
        responses.endOf(httpRequest, deadlineNanos).accept(Buffer.buffer(replayed.body()));
    }

    private void startCall(
            HttpServerRequest httpRequest,
            CallPlan plan,
            Optional<Message.OnceOnly> onceOnly,
            Optional<IdempotencyClaims.Claim.Won> won,
            CallGuard guard) {
        HttpServerResponse response = httpRequest.response();
        response.putHeader("X-Request-Id", plan.id().toString());
        CallDriver driver = calls.newDriver(
                plan, onceOnly, new PlainResponseSink(response, responses.endOf(httpRequest, plan.deadlineNanos())));
        // A claimed call continues after its caller has disconnected, so that its outcome is recorded for the key.
        if (plan.repeatable()) {
            response.exceptionHandler(error -> driver.cancel());
            response.closeHandler(closed -> driver.cancel());
        }
        driver.start().thenAccept(outcome -> {
            guard.run(() -> calls.settleQuota(plan, 0));
            guard.run(() -> won.ifPresent(claim -> settleClaim(claim, outcome)));
        });
    }

    /** Records the response for the key, releases the claim if the call did not run, or else abandons the claim. */
    private void settleClaim(IdempotencyClaims.Claim.Won claim, CallDriver.CallOutcome outcome) {
        if (outcome.response().isPresent()) {
            Message.PlainResponse response = outcome.response().get();
            claims.complete(claim, response.status(), contentType(response), response.body());
        } else if (outcome.failure().filter(failure -> failure.ran() == Ran.NO).isPresent()) {
            claims.release(claim);
        } else {
            claims.abandon(claim);
        }
    }

    private static String contentType(Message.PlainResponse response) {
        return response.headers().stream()
                .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
                .map(Message.Header::value)
                .findFirst()
                .orElse("");
    }
}

package coriandersill.entry.internal;

import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.RouteName;
import coriandersill.events.CallGuard;
import coriandersill.quarantine.CallTraits;
import coriandersill.wire.Message;
import io.vertx.core.Context;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Serves the completions and chat completions APIs. */
final class CompletionsHandler {
    private static final int AFFINITY_PREFIX_CHARACTERS = 256;

    private final CallService calls;
    private final WholeResponses responses;

    CompletionsHandler(CallService calls, WholeResponses responses) {
        this.calls = calls;
        this.responses = responses;
    }

    void handle(HttpServerRequest request, byte[] body) {
        Context context = calls.entry().vertx().getOrCreateContext();
        CallGuard guard = ErrorResponses.guard(calls.entry().events(), request.response());
        String authorization = request.getHeader("Authorization");
        boolean chat = request.path().equals("/v1/chat/completions");
        String path = request.path();
        calls.entry()
                .workers()
                .submit(() -> plan(authorization, path, chat, body))
                .whenComplete((planned, error) -> context.runOnContext(ignored -> guard.run(() -> {
                    if (error != null) {
                        ErrorResponses.send(request.response(), CallFailure.from(error));
                    } else {
                        startCall(request, planned, guard);
                    }
                })));
    }

    private record PlannedCompletion(CallPlan plan, CompletionRequest request, boolean chat) {}

    private PlannedCompletion plan(String authorization, String path, boolean chat, byte[] body) {
        calls.checkNotDraining();
        WorkspaceDocument workspace = calls.authenticate(authorization);
        CompletionRequest request = CompletionRequest.parse(body, chat);
        ServiceDocument service = calls.service(workspace, request.model(), ServiceKind.GENERATION);
        Message.UpstreamRequest upstreamRequest = new Message.UpstreamRequest(
                true,
                "POST",
                path,
                List.of(new Message.Header("Content-Type", "application/json")),
                request.upstreamBody());
        CallPlan plan = new CallPlan(
                calls.newCallId(),
                workspace,
                service,
                RouteName.of(chat ? "chat" : "completions"),
                upstreamRequest,
                true,
                affinityHash(workspace, request),
                request.promptTokens(),
                request.maxTokens(),
                CallTraits.of(Optional.of(workspace.name()), request.sharedParts()),
                calls.deadlineNanos());
        calls.acquireQuota(plan);
        return new PlannedCompletion(plan, request, chat);
    }

    private void startCall(HttpServerRequest httpRequest, PlannedCompletion planned, CallGuard guard) {
        HttpServerResponse response = httpRequest.response();
        CompletionRequest request = planned.request();
        ResponseSink sink = request.stream()
                ? new EventStreamResponseSink(response)
                : new AggregatedResponseSink(
                        response,
                        responses.endOf(httpRequest, planned.plan().deadlineNanos()),
                        planned.chat(),
                        request.model(),
                        request.promptTokens());
        CallDriver driver = calls.newDriver(planned.plan(), Optional.empty(), sink);
        response.putHeader("X-Request-Id", planned.plan().id().toString());
        response.exceptionHandler(error -> driver.cancel());
        response.closeHandler(closed -> driver.cancel());
        // The caller has disconnected already, so the call is not started.
        if (response.closed()) {
            calls.settleQuota(planned.plan(), 0);
            return;
        }
        driver.start().thenAccept(outcome -> guard.run(() -> calls.settleQuota(planned.plan(), outcome.tokens())));
    }

    /** Hashes the session, or the prompt prefix if the caller names no session, so that related calls share a hash. */
    private static long affinityHash(WorkspaceDocument workspace, CompletionRequest request) {
        String affinity = request.session().isEmpty()
                ? request.prompt()
                        .substring(
                                0,
                                Math.min(
                                        AFFINITY_PREFIX_CHARACTERS,
                                        request.prompt().length()))
                : request.session();
        byte[] bytes = (workspace.name() + "\n" + affinity).getBytes(StandardCharsets.UTF_8);
        return Hashes.sha256Prefix(bytes);
    }
}

package coriandersill.entry.internal;

import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.RouteName;
import coriandersill.wire.Message;
import io.vertx.core.Context;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Serves generations on the completions form. */
final class CompletionsHandler {
    private static final int PREFIX_CHARACTERS = 256;

    private final CallService calls;

    CompletionsHandler(CallService calls) {
        this.calls = calls;
    }

    void handle(HttpServerRequest request, byte[] body) {
        Context context = calls.entry().vertx().getOrCreateContext();
        String authorization = request.getHeader("Authorization");
        boolean chat = request.path().equals("/v1/chat/completions");
        String path = request.path();
        calls.entry()
                .workers()
                .submit(() -> plan(authorization, path, chat, body))
                .whenComplete((planned, error) -> context.runOnContext(now -> {
                    if (error != null) {
                        Responses.fail(request.response(), CallFailure.from(error));
                    } else {
                        begin(request.response(), planned);
                    }
                }));
    }

    private record Planned(CallPlan plan, CompletionRequest request, boolean chat) {}

    private Planned plan(String authorization, String path, boolean chat, byte[] body) {
        calls.checkOpen();
        WorkspaceDocument workspace = calls.authenticate(authorization);
        CompletionRequest request = CompletionRequest.parse(body, chat);
        ServiceDocument service = calls.service(workspace, request.model(), ServiceKind.GENERATION);
        Message.UpstreamRequest work = new Message.UpstreamRequest(
                true,
                "POST",
                path,
                List.of(new Message.Header("Content-Type", "application/json")),
                request.upstreamBody());
        CallPlan plan = new CallPlan(
                calls.newId(),
                workspace,
                service,
                RouteName.of(chat ? "chat" : "completions"),
                work,
                true,
                hash(workspace, request),
                request.promptTokens(),
                request.maxTokens(),
                calls.deadlineNanos());
        calls.charge(plan);
        return new Planned(plan, request, chat);
    }

    private void begin(HttpServerResponse response, Planned planned) {
        CompletionRequest request = planned.request();
        AnswerSink sink = request.stream()
                ? new StreamSink(response)
                : new WholeSink(response, planned.chat(), request.model(), request.promptTokens());
        CallDriver driver = calls.open(planned.plan(), Optional.empty(), sink);
        response.putHeader("X-Request-Id", planned.plan().id().toString());
        response.exceptionHandler(error -> driver.cancel());
        response.closeHandler(closed -> driver.cancel());
        if (response.closed()) {
            calls.settle(planned.plan(), 0);
            return;
        }
        driver.start().thenAccept(ending -> calls.settle(planned.plan(), ending.tokens()));
    }

    /** Calls of one session, or else with one prefix, have one hash. */
    private static long hash(WorkspaceDocument workspace, CompletionRequest request) {
        String affinity = request.session().isEmpty()
                ? request.prompt()
                        .substring(
                                0, Math.min(PREFIX_CHARACTERS, request.prompt().length()))
                : request.session();
        byte[] bytes = (workspace.name() + "\n" + affinity).getBytes(StandardCharsets.UTF_8);
        return Hashes.of(bytes);
    }
}

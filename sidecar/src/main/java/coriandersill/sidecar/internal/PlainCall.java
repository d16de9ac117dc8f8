package coriandersill.sidecar.internal;

import coriandersill.admission.Completion;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.responses.BodyEnd;
import coriandersill.responses.Framing;
import coriandersill.responses.ProcessEvidence;
import coriandersill.responses.RequestEvidence;
import coriandersill.responses.ResponseStatus;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * A plain call at the upstream: sends the complete response to the entry in one message. All state is confined to one
 * Vert.x context.
 */
final class PlainCall implements UpstreamCall {
    private static final int MAX_RESPONSE_BODY_BYTES = 4 << 20;
    private static final int STATUS_SERVER_ERROR = 500;

    /** Headers that concern only the connection to the upstream. */
    private static final Set<String> NOT_FORWARDED_HEADERS =
            Set.of("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length");

    private final CallDispatcher dispatcher;
    private final SidecarContext sidecar;
    private final OpenCall call;
    private final UpstreamClient upstreamClient;
    private final Context context;
    private final long startedNanos;
    private HttpClientRequest request;
    private RequestEvidence requestEvidence = RequestEvidence.NOT_WRITTEN;

    /** What was known of the request when its response ended; the closed connection ends the write, too. */
    private RequestEvidence requestAtEnd = RequestEvidence.NOT_WRITTEN;

    private boolean ended;

    private PlainCall(CallDispatcher dispatcher, SidecarContext sidecar, OpenCall call, UpstreamClient upstreamClient) {
        this.dispatcher = dispatcher;
        this.sidecar = sidecar;
        this.call = call;
        this.upstreamClient = upstreamClient;
        this.context = sidecar.vertx().getOrCreateContext();
        this.startedNanos = sidecar.clock().nanos();
    }

    static PlainCall start(
            CallDispatcher dispatcher, SidecarContext sidecar, OpenCall call, UpstreamClient upstreamClient) {
        PlainCall plainCall = new PlainCall(dispatcher, sidecar, call, upstreamClient);
        plainCall.runOnContext(plainCall::openRequest);
        return plainCall;
    }

    private void runOnContext(Runnable step) {
        context.runOnContext(ignored -> call.guard().run(step));
    }

    private void openRequest() {
        upstreamClient.open(call.dispatch()).onComplete(opened -> call.guard().run(() -> {
            if (opened.failed()) {
                String text = "upstream does not accept connections: "
                        + opened.cause().getMessage();
                end(new Message.Refused(call.attempt(), ErrorKind.UNAVAILABLE, text, Duration.ZERO), false, Ran.NO);
            } else if (ended) {
                opened.result().connection().close();
            } else {
                dispatcher
                        .upstreamCondition()
                        .refusal()
                        .ifPresentOrElse(failure -> refuse(opened.result(), failure), () -> send(opened.result()));
            }
        }));
    }

    /** Ends the call because of what the upstream said of itself while its connection was opened. */
    private void refuse(HttpClientRequest unsent, CallFailure failure) {
        ended = true;
        unsent.connection().close();
        Message refusal =
                new Message.Refused(call.attempt(), failure.kind(), failure.getMessage(), failure.retryAfter());
        dispatcher.finished(call, Completion.CANCELLED, () -> runOnContext(() -> dispatcher.sendEnd(call, refusal)));
    }

    private void send(HttpClientRequest opened) {
        request = opened;
        call.send(new Message.Accepted(call.attempt()));
        request.response().onComplete(response -> call.guard().run(() -> {
            if (response.failed()) {
                onConnectionLost(response.cause());
            } else {
                onHead(response.result());
            }
        }));
        UpstreamClient.send(request, call.dispatch()).onSuccess(written -> requestEvidence = RequestEvidence.WRITTEN);
    }

    private void onHead(HttpClientResponse response) {
        if (!ResponseStatus.isAnswer(response.statusCode())) {
            request.reset();
            onConnectionLost(new IllegalStateException(ResponseStatus.describeNoAnswer(response.statusCode())));
            return;
        }
        dispatcher.upstreamCondition().observe(response.statusCode(), response.headers());
        readResponse(response);
    }

    private void readResponse(HttpClientResponse response) {
        Buffer body = Buffer.buffer();
        response.exceptionHandler(error -> call.guard().run(() -> onConnectionLost(error)));
        response.handler(part -> call.guard().run(() -> append(body, part)));
        response.endHandler(end -> call.guard().run(() -> onBodyEnd(response, body)));
    }

    private void append(Buffer body, Buffer part) {
        if (body.length() + part.length() > MAX_RESPONSE_BODY_BYTES) {
            onResponseTooLarge();
        } else {
            body.appendBuffer(part);
        }
    }

    /** Without framing, the end of the body only shows that its connection ended, as by a crash of the upstream. */
    private void onBodyEnd(HttpClientResponse response, Buffer body) {
        requestAtEnd = requestEvidence;
        judgeEnd(response, body, ProcessEvidence.NOT_ASKED);
    }

    private void judgeEnd(HttpClientResponse response, Buffer body, ProcessEvidence process) {
        Framing framing = Framing.of(
                response.statusCode(),
                response.headers().getAll(HttpHeaders.TRANSFER_ENCODING),
                response.headers().contains(HttpHeaders.CONTENT_LENGTH));
        BodyEnd bodyEnd = new BodyEnd(framing, requestAtEnd, process);
        switch (bodyEnd.verdict()) {
            case WHOLE -> onResponse(response, body);
            case ASK_PROCESS -> sidecar.vertx().setTimer(BodyEnd.SHUTDOWN_TIME.toMillis(), timer -> call.guard()
                    .run(() -> askProcess(response, body)));
            default -> onConnectionLost(new IllegalStateException(bodyEnd.doubt()));
        }
    }

    private void askProcess(HttpClientResponse response, Buffer body) {
        upstreamClient.processEvidence().onSuccess(process -> call.guard()
                .run(() -> judgeEnd(response, body, process)));
    }

    private void onResponse(HttpClientResponse response, Buffer body) {
        List<Message.Header> headers = new ArrayList<>();
        response.headers().forEach((name, value) -> {
            if (!NOT_FORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                headers.add(new Message.Header(name, value));
            }
        });
        int status = response.statusCode();
        end(
                new Message.PlainResponse(call.attempt(), status, headers, body.getBytes()),
                status < STATUS_SERVER_ERROR,
                Ran.YES);
    }

    private void onResponseTooLarge() {
        request.reset();
        String text = "the upstream's answer: expected at most " + MAX_RESPONSE_BODY_BYTES + " bytes, found more";
        end(failure(ErrorKind.UPSTREAM_ERROR, Ran.YES, text), false, Ran.YES);
    }

    private void onConnectionLost(Throwable cause) {
        String text = "the connection to the upstream was lost before its answer: " + cause.getMessage();
        end(failure(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, text), false, Ran.UNKNOWN);
    }

    private Message failure(ErrorKind kind, Ran ran, String text) {
        return new Message.Failed(call.attempt(), kind, ran, text, Duration.ZERO);
    }

    private void end(Message message, boolean succeeded, Ran ran) {
        if (ended) {
            return;
        }
        ended = true;
        Duration total = Duration.ofNanos(sidecar.clock().nanos() - startedNanos);
        dispatcher.finished(
                call,
                succeeded ? Completion.FINISHED : Completion.FAILED,
                () -> runOnContext(() -> {
                    dispatcher.sendEnd(call, message);
                    sidecar.observer().onCallEnded(call.dispatch().target(), succeeded, ran, total, 0, total);
                }));
    }

    @Override
    public void cancel() {
        runOnContext(() -> {
            ended = true;
            if (request != null && call.dispatch().onceOnly().isEmpty()) {
                request.reset();
            }
        });
    }

    @Override
    public void grantCredit(int tokens) {
        // Credit does not apply: the complete response is one message.
    }

    @Override
    public boolean resume(WireConnection connection, long nextIndex, int credit) {
        return false;
    }
}

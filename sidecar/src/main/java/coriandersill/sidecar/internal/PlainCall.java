package coriandersill.sidecar.internal;

import coriandersill.admission.Completion;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** A plain call at the upstream: passes the whole answer back in one message; confined to one Vert.x context. */
final class PlainCall implements UpstreamCall {
    private static final int LARGEST_BODY_BYTES = 4 << 20;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final Set<String> HOP_BY_HOP =
            Set.of("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length");

    private final CallDispatcher gate;
    private final SidecarContext sidecar;
    private final OpenCall call;
    private final Context context;
    private final long startedNanos;
    private HttpClientRequest request;
    private boolean ended;

    private PlainCall(CallDispatcher gate, SidecarContext sidecar, OpenCall call) {
        this.gate = gate;
        this.sidecar = sidecar;
        this.call = call;
        this.context = sidecar.vertx().getOrCreateContext();
        this.startedNanos = sidecar.clock().nanos();
    }

    static PlainCall begin(CallDispatcher gate, SidecarContext sidecar, OpenCall call, UpstreamClient upstream) {
        PlainCall run = new PlainCall(gate, sidecar, call);
        run.context.runOnContext(now -> run.open(upstream));
        return run;
    }

    private void open(UpstreamClient upstream) {
        upstream.open(call.dispatch()).onComplete(opened -> {
            if (opened.failed()) {
                String text = "upstream does not accept connections: "
                        + opened.cause().getMessage();
                end(new Message.Refused(call.attempt(), ErrorKind.UNAVAILABLE, text, Duration.ZERO), false, Ran.NO);
            } else if (ended) {
                opened.result().reset();
            } else {
                send(opened.result());
            }
        });
    }

    private void send(HttpClientRequest opened) {
        request = opened;
        call.send(new Message.Accepted(call.attempt()));
        request.response().onComplete(response -> {
            if (response.failed()) {
                lost(response.cause());
            } else {
                read(response.result());
            }
        });
        UpstreamClient.send(request, call.dispatch());
    }

    private void read(HttpClientResponse response) {
        Buffer body = Buffer.buffer();
        response.exceptionHandler(error -> lost(error));
        response.handler(part -> {
            if (body.length() + part.length() > LARGEST_BODY_BYTES) {
                tooLarge();
            } else {
                body.appendBuffer(part);
            }
        });
        response.endHandler(end -> answered(response, body));
    }

    private void answered(HttpClientResponse response, Buffer body) {
        List<Message.Header> headers = new ArrayList<>();
        response.headers().forEach((name, value) -> {
            if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))) {
                headers.add(new Message.Header(name, value));
            }
        });
        int status = response.statusCode();
        end(
                new Message.PlainResponse(call.attempt(), status, headers, body.getBytes()),
                status < STATUS_SERVER_ERROR,
                Ran.YES);
    }

    private void tooLarge() {
        request.reset();
        String text = "the upstream's answer: expected at most " + LARGEST_BODY_BYTES + " bytes, found more";
        end(failure(ErrorKind.UPSTREAM_ERROR, Ran.YES, text), false, Ran.YES);
    }

    private void lost(Throwable cause) {
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
        sidecar.observer().ended(call.dispatch().target(), succeeded, ran, total, 0, total);
        call.send(message);
        gate.finished(call, succeeded ? Completion.FINISHED : Completion.FAILED);
    }

    @Override
    public void cancel() {
        context.runOnContext(now -> {
            ended = true;
            if (request != null && call.dispatch().onceOnly().isEmpty()) {
                request.reset();
            }
        });
    }

    @Override
    public void credit(int tokens) {
        // The whole answer is one message.
    }

    @Override
    public boolean resume(WireConnection connection, long nextIndex, int credit) {
        return false;
    }
}

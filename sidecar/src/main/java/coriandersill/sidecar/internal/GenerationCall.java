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
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A generation at the upstream: reads its events as credit allows and sends them on with their index.
 *
 * <p>Payloads are kept until the entry has granted their credit back, so that a resume finds them. All state is
 * confined to one Vert.x context.
 */
final class GenerationCall implements UpstreamCall {
    private static final String EVENT_END = "\n\n";
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final int LARGEST_EVENT_BYTES = 1 << 20;
    private static final int LARGEST_ERROR_BYTES = 4 << 10;
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private final CallDispatcher gate;
    private final SidecarContext sidecar;
    private final OpenCall call;
    private final Context context;
    private final long startedNanos;
    private final ArrayDeque<byte[]> unacknowledged = new ArrayDeque<>();
    private long firstTokenNanos;
    private long sent;
    private int credit;
    private boolean ended;
    private boolean bodySent;
    private Optional<Message> last = Optional.empty();
    private Optional<byte[]> held = Optional.empty();
    private HttpClientRequest request;
    private RecordParser events;

    private GenerationCall(CallDispatcher gate, SidecarContext sidecar, OpenCall call) {
        this.gate = gate;
        this.sidecar = sidecar;
        this.call = call;
        this.context = sidecar.vertx().getOrCreateContext();
        this.credit = call.dispatch().credit();
        this.startedNanos = sidecar.clock().nanos();
    }

    static GenerationCall begin(CallDispatcher gate, SidecarContext sidecar, OpenCall call, UpstreamClient upstream) {
        GenerationCall run = new GenerationCall(gate, sidecar, call);
        run.context.runOnContext(now -> run.open(upstream));
        return run;
    }

    private void open(UpstreamClient upstream) {
        upstream.open(call.dispatch()).onComplete(opened -> {
            if (opened.failed()) {
                end(
                        refusal("upstream does not accept connections: "
                                + opened.cause().getMessage()),
                        false);
            } else if (ended) {
                opened.result().reset();
            } else {
                send(opened.result());
            }
        });
    }

    private void send(HttpClientRequest opened) {
        request = opened;
        bodySent = true;
        call.send(new Message.Accepted(call.attempt()));
        request.response().onComplete(response -> {
            if (response.failed()) {
                broken(response.cause());
            } else if (response.result().statusCode() == STATUS_OK) {
                read(response.result());
            } else {
                refusedByUpstream(response.result());
            }
        });
        UpstreamClient.send(request, call.dispatch());
    }

    private void read(HttpClientResponse response) {
        events = RecordParser.newDelimited(EVENT_END, response);
        events.maxRecordSize(LARGEST_EVENT_BYTES);
        events.exceptionHandler(error -> broken(error));
        events.endHandler(end -> broken(new IllegalStateException("the stream ended early")));
        events.handler(event -> onEvent(event.getBytes()));
    }

    private void onEvent(byte[] event) {
        if (ended || !Arrays.equals(event, 0, Math.min(DATA.length, event.length), DATA, 0, DATA.length)) {
            return;
        }
        int start = DATA.length;
        while (start < event.length && event[start] == ' ') {
            start++;
        }
        byte[] payload = Arrays.copyOfRange(event, start, event.length);
        if (Arrays.equals(payload, DONE)) {
            end(new Message.Finished(call.attempt(), sent), true);
        } else {
            offer(payload);
        }
    }

    /** Sends a token, or holds it until there is credit; the end of the stream needs none. */
    private void offer(byte[] payload) {
        if (credit > 0) {
            sendToken(payload);
        } else {
            held = Optional.of(payload);
            events.pause();
        }
    }

    private void sendToken(byte[] payload) {
        if (sent == 0) {
            firstTokenNanos = sidecar.clock().nanos();
        }
        call.countToken();
        unacknowledged.add(payload);
        call.send(new Message.Tokens(call.attempt(), sent, List.of(payload)));
        sent++;
        credit--;
    }

    @Override
    public void credit(int tokens) {
        context.runOnContext(now -> {
            for (int i = 0; i < tokens; i++) {
                unacknowledged.poll();
            }
            allow(tokens);
        });
    }

    private void allow(int tokens) {
        credit += tokens;
        if (credit > 0 && held.isPresent() && !ended) {
            byte[] payload = held.get();
            held = Optional.empty();
            sendToken(payload);
            events.resume();
        }
    }

    @Override
    public boolean resume(WireConnection connection, long nextIndex, int granted) {
        context.runOnContext(now -> {
            call.moveTo(connection);
            resend(nextIndex, granted);
        });
        return true;
    }

    private void resend(long nextIndex, int granted) {
        long oldest = sent - unacknowledged.size();
        if (nextIndex < oldest || nextIndex > sent) {
            end(failure(ErrorKind.GENERATION_INTERRUPTED, Ran.YES, "token " + nextIndex + " is no longer kept"), false);
            return;
        }
        for (long index = oldest; index < nextIndex; index++) {
            unacknowledged.poll();
        }
        if (!unacknowledged.isEmpty()) {
            call.send(new Message.Tokens(call.attempt(), nextIndex, List.copyOf(unacknowledged)));
        }
        int open = granted - unacknowledged.size() - credit;
        allow(open);
        last.ifPresent(message -> {
            call.send(message);
            close(message instanceof Message.Finished);
        });
    }

    @Override
    public void cancel() {
        context.runOnContext(now -> {
            ended = true;
            if (request != null) {
                request.reset();
            }
            observe(true, Ran.UNKNOWN);
        });
    }

    private void broken(Throwable cause) {
        if (ended) {
            return;
        }
        ErrorKind kind = sent == 0 ? ErrorKind.UPSTREAM_ERROR : ErrorKind.GENERATION_INTERRUPTED;
        Ran ran = bodySent ? Ran.YES : Ran.NO;
        end(failure(kind, ran, "upstream broke off after " + sent + " tokens: " + cause.getMessage()), false);
    }

    private void refusedByUpstream(HttpClientResponse response) {
        int status = response.statusCode();
        boolean notRun = status == STATUS_UNAVAILABLE || (status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR);
        response.body().onComplete(body -> {
            String text = body.succeeded() ? start(body.result()) : "";
            end(failure(kindOf(status), notRun ? Ran.NO : Ran.YES, "status " + status + ": " + text), false);
        });
    }

    private static ErrorKind kindOf(int status) {
        boolean wrong = status >= STATUS_BAD_REQUEST
                && status < STATUS_SERVER_ERROR
                && status != STATUS_TOO_MANY_REQUESTS
                && status != STATUS_REQUEST_TIMEOUT;
        return wrong ? ErrorKind.INVALID_REQUEST : ErrorKind.UPSTREAM_ERROR;
    }

    private static String start(Buffer body) {
        return body.getString(0, Math.min(body.length(), LARGEST_ERROR_BYTES));
    }

    private Message refusal(String text) {
        return new Message.Refused(call.attempt(), ErrorKind.UNAVAILABLE, text, Duration.ZERO);
    }

    private Message failure(ErrorKind kind, Ran ran, String text) {
        return new Message.Failed(call.attempt(), kind, ran, text, Duration.ZERO);
    }

    private void end(Message message, boolean succeeded) {
        if (ended) {
            return;
        }
        ended = true;
        observe(succeeded, succeeded || bodySent ? Ran.YES : Ran.NO);
        if (call.connection().open()) {
            call.send(message);
            close(succeeded);
        } else {
            last = Optional.of(message);
        }
    }

    private void close(boolean succeeded) {
        gate.finished(call, succeeded ? Completion.FINISHED : Completion.FAILED);
    }

    private void observe(boolean succeeded, Ran ran) {
        long now = sidecar.clock().nanos();
        Duration firstToken = sent == 0 ? Duration.ZERO : Duration.ofNanos(firstTokenNanos - startedNanos);
        sidecar.observer()
                .ended(
                        call.dispatch().target(),
                        succeeded,
                        ran,
                        firstToken,
                        sent,
                        Duration.ofNanos(now - startedNanos));
    }
}

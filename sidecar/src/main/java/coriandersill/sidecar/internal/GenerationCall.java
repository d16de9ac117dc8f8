package coriandersill.sidecar.internal;

import coriandersill.admission.Completion;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.responses.ResponseStatus;
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
 * A generation at the upstream: reads its events as credit allows and sends them to the entry with their index.
 *
 * <p>Payloads are kept until the entry grants credit for them, so that a resume can send them again. All state is
 * confined to one Vert.x context.
 */
final class GenerationCall implements UpstreamCall {
    private static final String EVENT_DELIMITER = "\n\n";
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int MAX_ERROR_TEXT_BYTES = 4 << 10;

    /** The number of tokens after which the upstream has proven to serve the prompt. */
    private static final int TOKENS_OF_SUCCESS = 2;

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;

    private final CallDispatcher dispatcher;
    private final SidecarContext sidecar;
    private final OpenCall call;
    private final UpstreamClient upstreamClient;
    private final Context context;
    private final long startedNanos;
    private final ArrayDeque<byte[]> unacknowledgedPayloads = new ArrayDeque<>();
    private long firstTokenAtNanos;
    private long sentTokens;
    private int credit;
    private boolean ended;
    private boolean bodySent;
    private Optional<Message> undeliveredFinalMessage = Optional.empty();
    private Optional<byte[]> heldPayload = Optional.empty();
    private HttpClientRequest request;
    private HttpClientResponse upstreamResponse;
    private RecordParser eventParser;

    private GenerationCall(
            CallDispatcher dispatcher, SidecarContext sidecar, OpenCall call, UpstreamClient upstreamClient) {
        this.dispatcher = dispatcher;
        this.sidecar = sidecar;
        this.call = call;
        this.upstreamClient = upstreamClient;
        this.context = sidecar.vertx().getOrCreateContext();
        this.credit = call.dispatch().credit();
        this.startedNanos = sidecar.clock().nanos();
    }

    static GenerationCall start(
            CallDispatcher dispatcher, SidecarContext sidecar, OpenCall call, UpstreamClient upstreamClient) {
        GenerationCall generation = new GenerationCall(dispatcher, sidecar, call, upstreamClient);
        generation.runOnContext(generation::openRequest);
        return generation;
    }

    private void runOnContext(Runnable step) {
        context.runOnContext(ignored -> call.guard().run(step));
    }

    private void openRequest() {
        upstreamClient.open(call.dispatch()).onComplete(opened -> call.guard().run(() -> {
            if (opened.failed()) {
                end(
                        refusal("upstream does not accept connections: "
                                + opened.cause().getMessage()),
                        false);
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
        finishCall(false, () -> sendOrKeepEnd(refusal));
    }

    private void send(HttpClientRequest opened) {
        request = opened;
        bodySent = true;
        call.send(new Message.Accepted(call.attempt()));
        request.response().onComplete(response -> call.guard().run(() -> {
            if (response.failed()) {
                onInterrupted(response.cause());
            } else {
                onHead(response.result());
            }
        }));
        UpstreamClient.send(request, call.dispatch());
    }

    private void onHead(HttpClientResponse response) {
        if (!ResponseStatus.isAnswer(response.statusCode())) {
            request.reset();
            String text = ResponseStatus.describeNoAnswer(response.statusCode());
            end(failure(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, text), false);
            return;
        }
        dispatcher.upstreamCondition().observe(response.statusCode(), response.headers());
        if (response.statusCode() == STATUS_OK) {
            readEvents(response);
        } else {
            onErrorStatus(response);
        }
    }

    /** The parser is not told of the end of the body, at which it would pass on an incomplete event as a whole one. */
    private void readEvents(HttpClientResponse response) {
        upstreamResponse = response;
        eventParser = RecordParser.newDelimited(EVENT_DELIMITER);
        eventParser.maxRecordSize(MAX_EVENT_BYTES);
        eventParser.exceptionHandler(error -> call.guard().run(() -> onInterrupted(error)));
        eventParser.handler(event -> call.guard().run(() -> onEvent(event.getBytes())));
        response.exceptionHandler(error -> call.guard().run(() -> onInterrupted(error)));
        response.endHandler(
                end -> call.guard().run(() -> onInterrupted(new IllegalStateException("the stream ended early"))));
        response.handler(bytes -> call.guard().run(() -> eventParser.handle(bytes)));
    }

    private void pauseReading() {
        upstreamResponse.pause();
        eventParser.pause();
    }

    /** Goes on with the events that were received, then with the response if none of them is held again. */
    private void resumeReading() {
        eventParser.resume();
        if (heldPayload.isEmpty()) {
            upstreamResponse.resume();
        }
    }

    private void onEvent(byte[] event) {
        if (ended
                || !Arrays.equals(
                        event, 0, Math.min(DATA_FIELD.length, event.length), DATA_FIELD, 0, DATA_FIELD.length)) {
            return;
        }
        int start = DATA_FIELD.length;
        while (start < event.length && event[start] == ' ') {
            start++;
        }
        byte[] payload = Arrays.copyOfRange(event, start, event.length);
        if (Arrays.equals(payload, DONE)) {
            end(new Message.Finished(call.attempt(), sentTokens), true);
        } else {
            sendOrHold(payload);
        }
    }

    /** Sends a token, or holds it until there is credit; the end of the stream needs no credit. */
    private void sendOrHold(byte[] payload) {
        if (credit > 0) {
            sendToken(payload);
        } else {
            heldPayload = Optional.of(payload);
            pauseReading();
        }
    }

    private void sendToken(byte[] payload) {
        if (sentTokens == 0) {
            firstTokenAtNanos = sidecar.clock().nanos();
        }
        call.countUnreportedToken();
        unacknowledgedPayloads.add(payload);
        call.send(new Message.Tokens(call.attempt(), sentTokens, List.of(payload)));
        sentTokens++;
        credit--;
    }

    @Override
    public void grantCredit(int tokens) {
        runOnContext(() -> {
            // The entry grants credit for tokens that it has delivered, so a resume does not ask for them again.
            for (int i = 0; i < tokens; i++) {
                unacknowledgedPayloads.poll();
            }
            addCredit(tokens);
        });
    }

    private void addCredit(int tokens) {
        credit += tokens;
        if (credit > 0 && heldPayload.isPresent() && !ended) {
            byte[] payload = heldPayload.get();
            heldPayload = Optional.empty();
            sendToken(payload);
            resumeReading();
        }
    }

    @Override
    public boolean resume(WireConnection connection, long nextIndex, int grantedCredit) {
        runOnContext(() -> {
            // On the context of the call, so that no newer token is sent on the connection before the resent ones.
            call.setConnection(connection);
            resend(nextIndex, grantedCredit);
        });
        return true;
    }

    private void resend(long nextIndex, int grantedCredit) {
        long oldestKeptIndex = sentTokens - unacknowledgedPayloads.size();
        if (nextIndex < oldestKeptIndex || nextIndex > sentTokens) {
            end(failure(ErrorKind.GENERATION_INTERRUPTED, Ran.YES, "token " + nextIndex + " is no longer kept"), false);
            return;
        }
        for (long index = oldestKeptIndex; index < nextIndex; index++) {
            unacknowledgedPayloads.poll();
        }
        if (!unacknowledgedPayloads.isEmpty()) {
            call.send(new Message.Tokens(call.attempt(), nextIndex, List.copyOf(unacknowledgedPayloads)));
        }
        // The granted credit counts from nextIndex on and thus includes the resent tokens.
        int additionalCredit = grantedCredit - unacknowledgedPayloads.size() - credit;
        addCredit(additionalCredit);
        undeliveredFinalMessage.ifPresent(message -> dispatcher.sendEnd(call, message));
    }

    @Override
    public void cancel() {
        runOnContext(() -> {
            if (request != null) {
                request.reset();
            }
            if (!ended) {
                ended = true;
                // Reported as succeeded, because a cancel is no failure of the upstream.
                reportEnd(true, Ran.UNKNOWN, elapsed());
            }
        });
    }

    private void onInterrupted(Throwable cause) {
        if (ended) {
            return;
        }
        if (request != null) {
            request.reset();
        }
        if (bodySent && sentTokens < TOKENS_OF_SUCCESS) {
            upstreamClient.refusesConnections().onSuccess(refuses -> call.guard()
                    .run(() -> endInterrupted(cause, refuses)));
        } else {
            endInterrupted(cause, false);
        }
    }

    private void endInterrupted(Throwable cause, boolean upstreamEnded) {
        ErrorKind kind = upstreamEnded ? ErrorKind.UPSTREAM_ENDED : ErrorKind.UPSTREAM_ERROR;
        if (sentTokens > 0) {
            kind = ErrorKind.GENERATION_INTERRUPTED;
        }
        Ran ran = bodySent ? Ran.YES : Ran.NO;
        end(failure(kind, ran, "upstream broke off after " + sentTokens + " tokens: " + cause.getMessage()), false);
    }

    private void onErrorStatus(HttpClientResponse response) {
        int status = response.statusCode();
        boolean notRun =
                status == STATUS_SERVICE_UNAVAILABLE || (status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR);
        Buffer text = Buffer.buffer();
        Runnable endCall = () -> end(
                failure(errorKind(status), notRun ? Ran.NO : Ran.YES, "status " + status + ": " + errorText(text)),
                false);
        response.exceptionHandler(error -> call.guard().run(endCall));
        response.endHandler(ended -> call.guard().run(endCall));
        response.handler(bytes -> call.guard().run(() -> {
            text.appendBuffer(bytes);
            if (text.length() > MAX_ERROR_TEXT_BYTES) {
                request.reset();
                endCall.run();
            }
        }));
    }

    private static ErrorKind errorKind(int status) {
        boolean invalidRequest = status >= STATUS_BAD_REQUEST
                && status < STATUS_SERVER_ERROR
                && status != STATUS_TOO_MANY_REQUESTS
                && status != STATUS_REQUEST_TIMEOUT;
        return invalidRequest ? ErrorKind.INVALID_REQUEST : ErrorKind.UPSTREAM_ERROR;
    }

    private static String errorText(Buffer body) {
        return body.getString(0, Math.min(body.length(), MAX_ERROR_TEXT_BYTES));
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
        Duration total = elapsed();
        finishCall(succeeded, () -> {
            sendOrKeepEnd(message);
            reportEnd(succeeded, succeeded || bodySent ? Ran.YES : Ran.NO, total);
        });
    }

    /** Runs {@code sendEnd} on the context, so that the end follows tokens that a resume sends again. */
    private void finishCall(boolean succeeded, Runnable sendEnd) {
        dispatcher.finished(call, succeeded ? Completion.FINISHED : Completion.FAILED, () -> runOnContext(sendEnd));
    }

    private void sendOrKeepEnd(Message end) {
        if (call.connection().isOpen()) {
            dispatcher.sendEnd(call, end);
        } else {
            undeliveredFinalMessage = Optional.of(end);
        }
    }

    private Duration elapsed() {
        return Duration.ofNanos(sidecar.clock().nanos() - startedNanos);
    }

    private void reportEnd(boolean succeeded, Ran ran, Duration total) {
        Duration firstToken = sentTokens == 0 ? Duration.ZERO : Duration.ofNanos(firstTokenAtNanos - startedNanos);
        sidecar.observer().onCallEnded(call.dispatch().target(), succeeded, ran, firstToken, sentTokens, total);
    }
}

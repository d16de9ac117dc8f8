package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;

/**
 * Writes a generation as server-sent events.
 *
 * <p>The response head is sent with the first token, so that a call refused before that gets an HTTP error status.
 */
final class EventStreamResponseSink implements ResponseSink {
    private static final byte[] DATA_PREFIX = {'d', 'a', 't', 'a', ':', ' '};
    private static final byte[] EVENT_END = {'\n', '\n'};
    private static final Buffer DONE_EVENT = Buffer.buffer("data: [DONE]\n\n");

    /** The initial buffer capacity per event; the buffer grows if events are larger. */
    private static final int ESTIMATED_EVENT_BYTES = 160;

    private final HttpServerResponse httpResponse;
    private boolean headSent;

    EventStreamResponseSink(HttpServerResponse response) {
        this.httpResponse = response;
    }

    @Override
    public void onTokens(List<byte[]> payloads) {
        sendHead();
        Buffer events = Buffer.buffer(payloads.size() * ESTIMATED_EVENT_BYTES);
        for (byte[] payload : payloads) {
            events.appendBytes(DATA_PREFIX).appendBytes(payload).appendBytes(EVENT_END);
        }
        httpResponse.write(events);
    }

    private void sendHead() {
        if (!headSent) {
            headSent = true;
            httpResponse.setChunked(true);
            httpResponse.putHeader("Content-Type", "text/event-stream");
            httpResponse.putHeader("Cache-Control", "no-store");
        }
    }

    @Override
    public void onFinished() {
        sendHead();
        httpResponse.end(DONE_EVENT);
    }

    @Override
    public void onResponse(Message.PlainResponse response) {
        throw new IllegalStateException("unexpected plain response to a generation");
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (!headSent) {
            ErrorResponses.send(httpResponse, failure);
            return;
        }
        Buffer event = Buffer.buffer(DATA_PREFIX)
                .appendBuffer(ErrorMapping.body(failure).toBuffer())
                .appendBytes(EVENT_END);
        httpResponse.end(event);
    }

    @Override
    public void abort() {
        httpResponse.reset();
    }

    @Override
    public boolean checkWritable(Runnable whenWritable) {
        if (!httpResponse.writeQueueFull()) {
            return true;
        }
        httpResponse.drainHandler(drained -> whenWritable.run());
        return false;
    }
}

package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;

/** Writes a generation as server-sent events; the head is sent with the first token, so that refusals have a status. */
final class EventStreamResponseSink implements ResponseSink {
    private static final byte[] DATA = {'d', 'a', 't', 'a', ':', ' '};
    private static final byte[] EVENT_END = {'\n', '\n'};
    private static final Buffer DONE = Buffer.buffer("data: [DONE]\n\n");

    private final HttpServerResponse response;
    private boolean begun;

    EventStreamResponseSink(HttpServerResponse response) {
        this.response = response;
    }

    @Override
    public void tokens(List<byte[]> payloads) {
        begin();
        Buffer events = Buffer.buffer(payloads.size() * 160);
        for (byte[] payload : payloads) {
            events.appendBytes(DATA).appendBytes(payload).appendBytes(EVENT_END);
        }
        response.write(events);
    }

    private void begin() {
        if (!begun) {
            begun = true;
            response.setChunked(true);
            response.putHeader("Content-Type", "text/event-stream");
            response.putHeader("Cache-Control", "no-store");
        }
    }

    @Override
    public void finished() {
        begin();
        response.end(DONE);
    }

    @Override
    public void answered(Message.PlainResponse answer) {
        throw new IllegalStateException("a generation has no plain answer");
    }

    @Override
    public void failed(CallFailure failure) {
        if (!begun) {
            ErrorResponses.fail(response, failure);
            return;
        }
        Buffer event = Buffer.buffer(DATA)
                .appendBuffer(ErrorMapping.body(failure).toBuffer())
                .appendBytes(EVENT_END);
        response.end(event);
    }

    @Override
    public boolean ready(Runnable whenReady) {
        if (!response.writeQueueFull()) {
            return true;
        }
        response.drainHandler(drained -> whenReady.run());
        return false;
    }
}

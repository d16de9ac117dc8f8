package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;

/** Passes a plain service's answer to the caller. */
final class PlainResponseSink implements ResponseSink {
    private final HttpServerResponse response;

    PlainResponseSink(HttpServerResponse response) {
        this.response = response;
    }

    @Override
    public void tokens(List<byte[]> payloads) {
        throw new IllegalStateException("a plain call has no tokens");
    }

    @Override
    public void finished() {
        throw new IllegalStateException("a plain call has no tokens");
    }

    @Override
    public void answered(Message.PlainResponse answer) {
        response.setStatusCode(answer.status());
        answer.headers().forEach(header -> response.headers().add(header.name(), header.value()));
        response.end(Buffer.buffer(answer.body()));
    }

    @Override
    public void failed(CallFailure failure) {
        ErrorResponses.fail(response, failure);
    }

    @Override
    public boolean ready(Runnable whenReady) {
        return true;
    }
}

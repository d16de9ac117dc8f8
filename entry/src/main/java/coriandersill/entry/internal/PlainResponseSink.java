package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.function.Consumer;

/** Writes the response of a plain service. */
final class PlainResponseSink implements ResponseSink {
    private final HttpServerResponse httpResponse;
    private final Consumer<Buffer> end;

    /** Creates a sink that sets the head of {@code response}, and passes its body to {@code end}. */
    PlainResponseSink(HttpServerResponse response, Consumer<Buffer> end) {
        this.httpResponse = response;
        this.end = end;
    }

    @Override
    public void onTokens(List<byte[]> payloads) {
        throw new IllegalStateException("unexpected tokens in the response to a plain call");
    }

    @Override
    public void onFinished() {
        throw new IllegalStateException("unexpected end of a token stream in the response to a plain call");
    }

    @Override
    public void onResponse(Message.PlainResponse response) {
        httpResponse.setStatusCode(response.status());
        response.headers().forEach(header -> httpResponse.headers().add(header.name(), header.value()));
        end.accept(Buffer.buffer(response.body()));
    }

    @Override
    public void onFailure(CallFailure failure) {
        ErrorResponses.send(httpResponse, failure);
    }

    @Override
    public void abort() {
        httpResponse.reset();
    }

    @Override
    public boolean checkWritable(Runnable whenWritable) {
        return true;
    }
}

package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.relay.CallCodec;
import coriandersill.relay.ResponseHead;
import coriandersill.relay.UpstreamCall;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;

/**
 * One request to one upstream on a connection of its own.
 *
 * <p>Confined to the Vert.x context that starts it. After {@link #cancel} the listener hears nothing more.
 */
final class UpstreamExchange {
    private final Listener listener;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean over;

    private UpstreamExchange(Listener listener) {
        this.listener = listener;
    }

    /** Hears how an exchange goes; after {@link #ended} or {@link #failed} it hears nothing more. */
    interface Listener {
        /** The request is about to be written; returns false to give it up unsent. */
        boolean sending();

        /** The head of the answer is in. */
        void head(ResponseHead head);

        /** More of the answer's body is in. */
        void data(Buffer bytes);

        /** The answer is whole. */
        void ended();

        /** The exchange broke; the failure says whether the request may have run. */
        void failed(CallFailure failure);
    }

    /** Starts an exchange. */
    static UpstreamExchange start(
            HttpClient client, CallCodec codec, UpstreamCall call, Buffer body, Listener listener) {
        UpstreamExchange exchange = new UpstreamExchange(listener);
        RequestOptions options = new RequestOptions()
                .setHost(call.target().host())
                .setPort(call.target().port())
                .setMethod(call.request().method())
                .setURI(call.request().uri());
        client.request(options).onComplete(opened -> {
            if (opened.failed()) {
                exchange.fail(CallFailure.of(
                        ErrorKind.UNAVAILABLE,
                        "no connection: " + opened.cause().getMessage()));
            } else {
                exchange.send(opened.result(), codec, call, body);
            }
        });
        return exchange;
    }

    /** Breaks the connection; the upstream drops the request. */
    void cancel() {
        over = true;
        if (request != null) {
            request.reset();
        }
    }

    /** Stops or goes on reading the answer, so that a slow caller holds the upstream back. */
    void pause(boolean paused) {
        if (response == null || over) {
            return;
        }
        if (paused) {
            response.pause();
        } else {
            response.resume();
        }
    }

    private void send(HttpClientRequest opened, CallCodec codec, UpstreamCall call, Buffer body) {
        request = opened;
        if (over || !listener.sending()) {
            over = true;
            opened.reset();
            return;
        }
        opened.headers().setAll(codec.encode(call));
        opened.exceptionHandler(error -> broken(error));
        opened.response().onSuccess(answer -> receive(answer, codec)).onFailure(this::broken);
        if (body.length() > 0) {
            opened.end(body);
        } else {
            opened.end();
        }
    }

    private void receive(HttpClientResponse answer, CallCodec codec) {
        if (over) {
            return;
        }
        response = answer;
        answer.exceptionHandler(this::broken);
        answer.handler(bytes -> {
            if (!over) {
                listener.data(bytes);
            }
        });
        answer.endHandler(end -> {
            if (!over) {
                over = true;
                listener.ended();
            }
        });
        listener.head(codec.decode(answer.statusCode(), answer.headers()));
    }

    private void broken(Throwable cause) {
        fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "connection broke: " + cause.getMessage())
                .withRan(Ran.UNKNOWN));
    }

    private void fail(CallFailure failure) {
        if (!over) {
            over = true;
            listener.failed(failure);
        }
    }
}

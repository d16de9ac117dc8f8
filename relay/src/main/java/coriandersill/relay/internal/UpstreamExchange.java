package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.events.CallGuard;
import coriandersill.relay.CallCodec;
import coriandersill.relay.ResponseHead;
import coriandersill.relay.UpstreamCall;
import coriandersill.responses.RequestEvidence;
import coriandersill.responses.ResponseStatus;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import java.util.OptionalLong;

/**
 * One request to one upstream on a dedicated connection.
 *
 * <p>Confined to the Vert.x context that starts it. After {@link #cancel} the listener is not called any more.
 */
final class UpstreamExchange {
    /** An upstream that sends more interim responses (1xx) than this sends no response of the protocol. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private final Listener listener;
    private final CallGuard guard;
    private int interimResponses;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean closed;
    private boolean paused;
    private RequestEvidence requestEvidence = RequestEvidence.NOT_WRITTEN;

    private UpstreamExchange(Listener listener, CallGuard guard) {
        this.listener = listener;
        this.guard = guard;
    }

    /** Callbacks of an exchange; none follows {@link #ended} or {@link #failed}. */
    interface Listener {
        /** Called before the request is written; returns false to cancel the exchange without sending it. */
        boolean beforeSend();

        /** Called when the status and headers of a final response (200 to 599) have been received. */
        void head(ResponseHead head);

        /** Called when a part of the response body has been received. */
        void data(Buffer bytes);

        /** Called when the response has ended. */
        void ended();

        /** Called when the exchange failed; the failure states whether the request may have been executed. */
        void failed(CallFailure failure);
    }

    /** Starts an exchange, all callbacks of which run in {@code guard}. */
    static UpstreamExchange start(
            HttpClient client, CallCodec codec, UpstreamCall call, Buffer body, Listener listener, CallGuard guard) {
        UpstreamExchange exchange = new UpstreamExchange(listener, guard);
        RequestOptions options = new RequestOptions()
                .setHost(call.target().host())
                .setPort(call.target().port())
                .setMethod(call.request().method())
                .setURI(call.request().uri());
        client.request(options)
                .onComplete(opened -> exchange.runGuarded(() -> {
                    if (opened.failed()) {
                        exchange.fail(CallFailure.of(
                                ErrorKind.UNAVAILABLE,
                                "no connection: " + opened.cause().getMessage()));
                    } else {
                        exchange.send(opened.result(), codec, call, body);
                    }
                }));
        return exchange;
    }

    /** Runs a callback in the guard of the call; closes the connection if it throws an error. */
    private void runGuarded(Runnable callback) {
        guard.run(() -> {
            try {
                callback.run();
            } catch (RuntimeException | Error error) {
                cancel();
                throw error;
            }
        });
    }

    /** Closes the connection; the upstream then drops the request. */
    void cancel() {
        closed = true;
        if (request != null) {
            request.reset();
        }
    }

    /** Pauses or resumes reading the response, to apply a slow caller's backpressure to the upstream. */
    void setPaused(boolean paused) {
        if (response == null || closed) {
            return;
        }
        this.paused = paused;
        if (paused) {
            response.pause();
        } else {
            response.resume();
        }
    }

    /** Returns whether more of the response can follow. */
    boolean isOpen() {
        return !closed;
    }

    /** Returns the size of the response body that its head states; empty if it states none. */
    OptionalLong statedBodyBytes() {
        String length = response == null ? null : response.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(length));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Returns what is known of the request now. */
    RequestEvidence requestEvidence() {
        return requestEvidence;
    }

    /** Returns whether reading the response is paused. */
    boolean isPaused() {
        return paused;
    }

    private void send(HttpClientRequest opened, CallCodec codec, UpstreamCall call, Buffer body) {
        request = opened;
        if (closed || !listener.beforeSend()) {
            closed = true;
            // A reset before the request was sent gives the connection back to the pool.
            opened.connection().close();
            return;
        }
        opened.headers().setAll(codec.encode(call));
        opened.continueHandler(received -> runGuarded(this::countInterimResponse));
        opened.earlyHintsHandler(received -> runGuarded(this::countInterimResponse));
        opened.exceptionHandler(this::connectionBroken);
        opened.response()
                .onSuccess(received -> runGuarded(() -> receive(received, codec)))
                .onFailure(this::connectionBroken);
        Future<Void> written = body.length() > 0 ? opened.end(body) : opened.end();
        written.onSuccess(ignored -> requestEvidence = RequestEvidence.WRITTEN);
    }

    private void countInterimResponse() {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES && !closed) {
            fail(CallFailure.of(
                            ErrorKind.OUTCOME_UNKNOWN,
                            "response: expected at most " + MAX_INTERIM_RESPONSES + " interim ones, found more")
                    .withRan(Ran.UNKNOWN));
            request.reset();
        }
    }

    private void receive(HttpClientResponse received, CallCodec codec) {
        if (closed) {
            return;
        }
        if (!ResponseStatus.isAnswer(received.statusCode())) {
            fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, ResponseStatus.describeNoAnswer(received.statusCode()))
                    .withRan(Ran.UNKNOWN));
            request.reset();
            return;
        }
        response = received;
        received.exceptionHandler(this::connectionBroken);
        received.handler(bytes -> {
            if (!closed) {
                runGuarded(() -> listener.data(bytes));
            }
        });
        received.endHandler(end -> {
            if (!closed) {
                closed = true;
                runGuarded(listener::ended);
            }
        });
        listener.head(codec.decode(received.statusCode(), received.headers()));
    }

    private void connectionBroken(Throwable cause) {
        runGuarded(() -> fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "connection broke: " + cause.getMessage())
                .withRan(Ran.UNKNOWN)));
    }

    private void fail(CallFailure failure) {
        if (!closed) {
            closed = true;
            listener.failed(failure);
        }
    }
}

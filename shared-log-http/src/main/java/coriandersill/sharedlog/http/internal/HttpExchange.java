package coriandersill.sharedlog.http.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;

/**
 * Sends HTTP requests and collects each response, within a timeout and a maximum body size.
 *
 * <p>A failure has {@link Ran#NO} if the request was not sent, and {@link Ran#UNKNOWN} otherwise. Futures are completed
 * on the executor, or on the event loop if the executor rejects the task.
 */
public final class HttpExchange {
    private final Vertx vertx;
    private final HttpClient client;
    private final Executor executor;
    private final int maxBodyBytes;
    private final LongAdder receivedBytes = new LongAdder();

    /** Creates an exchange that uses {@code client} and accepts response bodies of at most {@code maxBodyBytes}. */
    public HttpExchange(Vertx vertx, HttpClient client, Executor executor, int maxBodyBytes) {
        this.vertx = vertx;
        this.client = client;
        this.executor = executor;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the total size in bytes of all response bodies received so far. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** A complete response. */
    public record Response(int status, Buffer body) {}

    /** Sends a request; on failure the future completes with a {@link CallFailure} of kind {@code failureKind}. */
    public CompletableFuture<Response> send(
            HttpMethod method, String uri, Buffer body, Duration timeout, ErrorKind failureKind) {
        String description = method + " " + uri;
        CompletableFuture<Response> future = new CompletableFuture<>();
        Promise<Response> promise = Promise.promise();
        Future<HttpClientRequest> requestFuture = client.request(method, uri);
        long timer = vertx.setTimer(Math.max(1, timeout.toMillis()), id -> {
            promise.tryFail("no response within " + timeout.toMillis() + " ms");
            requestFuture.onSuccess(HttpClientRequest::reset);
        });
        // Whichever happens first sets it: the request is sent, or the exchange ends. The request is not sent after the
        // end, and a failure has Ran.NO only if the end came first.
        AtomicBoolean sentOrEnded = new AtomicBoolean();
        Future<Response> responseFuture = requestFuture.compose(request -> {
            if (!sentOrEnded.compareAndSet(false, true)) {
                var unused = request.reset();
                return Future.failedFuture("timed out before the request was sent");
            }
            request.putHeader("content-type", "application/json");
            return request.send(body).compose(this::collectBody).onFailure(error -> request.reset());
        });
        responseFuture.onComplete(done -> {
            if (done.succeeded()) {
                promise.tryComplete(done.result());
            } else {
                promise.tryFail(done.cause());
            }
        });
        promise.future().onComplete(done -> {
            vertx.cancelTimer(timer);
            Ran ran = sentOrEnded.compareAndSet(false, true) ? Ran.NO : Ran.UNKNOWN;
            complete(future, done.result(), done.cause(), failureKind, ran, description);
        });
        return future;
    }

    private Future<Response> collectBody(HttpClientResponse response) {
        Promise<Response> responsePromise = Promise.promise();
        Buffer body = Buffer.buffer();
        response.handler(chunk -> {
            receivedBytes.add(chunk.length());
            body.appendBuffer(chunk);
            if (body.length() > maxBodyBytes) {
                responsePromise.tryFail("response body: expected at most " + maxBodyBytes + " bytes, found more");
            }
        });
        response.exceptionHandler(responsePromise::tryFail);
        response.endHandler(end -> responsePromise.tryComplete(new Response(response.statusCode(), body)));
        return responsePromise.future();
    }

    private void complete(
            CompletableFuture<Response> future,
            Response response,
            Throwable error,
            ErrorKind kind,
            Ran ran,
            String description) {
        Runnable task = () -> {
            if (error == null) {
                future.complete(response);
            } else {
                future.completeExceptionally(CallFailure.of(kind, description + ": " + error.getMessage())
                        .withRan(ran));
            }
        };
        try {
            executor.execute(task);
        } catch (RuntimeException rejected) {
            task.run();
        }
    }
}

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
 * Sends one request and collects its answer, within a deadline and a bound of bytes.
 *
 * <p>A failure says {@code ran NO} when the request was not sent, else {@code ran UNKNOWN}. Answers are handed over on
 * the executor.
 */
public final class HttpExchange {
    private final Vertx vertx;
    private final HttpClient client;
    private final Executor executor;
    private final int maxBodyBytes;
    private final LongAdder receivedBytes = new LongAdder();

    /** Makes exchanges over {@code client}, with answers of at most {@code maxBodyBytes}. */
    public HttpExchange(Vertx vertx, HttpClient client, Executor executor, int maxBodyBytes) {
        this.vertx = vertx;
        this.client = client;
        this.executor = executor;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** The bytes of all bodies received. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** A complete answer. */
    public record Response(int status, Buffer body) {}

    /** Sends a request; the future fails with a {@link CallFailure} of kind {@code unavailable}. */
    public CompletableFuture<Response> send(
            HttpMethod method, String uri, Buffer body, Duration deadline, ErrorKind unavailable) {
        CompletableFuture<Response> answer = new CompletableFuture<>();
        Promise<Response> promise = Promise.promise();
        Future<HttpClientRequest> requested = client.request(method, uri);
        long timer = vertx.setTimer(Math.max(1, deadline.toMillis()), id -> {
            promise.tryFail("no answer within " + deadline);
            requested.onSuccess(HttpClientRequest::reset);
        });
        AtomicBoolean sentOrEnded = new AtomicBoolean();
        Future<Response> exchange = requested.compose(request -> {
            if (!sentOrEnded.compareAndSet(false, true)) {
                var unused = request.reset();
                return Future.failedFuture("the deadline passed before the request was sent");
            }
            request.putHeader("content-type", "application/json");
            return request.send(body).compose(this::collect).onFailure(error -> request.reset());
        });
        exchange.onComplete(done -> {
            if (done.succeeded()) {
                promise.tryComplete(done.result());
            } else {
                promise.tryFail(done.cause());
            }
        });
        promise.future().onComplete(done -> {
            vertx.cancelTimer(timer);
            Ran ran = sentOrEnded.compareAndSet(false, true) ? Ran.NO : Ran.UNKNOWN;
            complete(answer, done.result(), done.cause(), unavailable, ran);
        });
        return answer;
    }

    private Future<Response> collect(HttpClientResponse response) {
        Promise<Response> whole = Promise.promise();
        Buffer collected = Buffer.buffer();
        response.handler(part -> {
            receivedBytes.add(part.length());
            collected.appendBuffer(part);
            if (collected.length() > maxBodyBytes) {
                whole.tryFail("answer: expected at most " + maxBodyBytes + " bytes, found more");
            }
        });
        response.exceptionHandler(whole::tryFail);
        response.endHandler(end -> whole.tryComplete(new Response(response.statusCode(), collected)));
        return whole.future();
    }

    private void complete(
            CompletableFuture<Response> answer, Response value, Throwable error, ErrorKind kind, Ran ran) {
        Runnable completion = () -> {
            if (error == null) {
                answer.complete(value);
            } else {
                answer.completeExceptionally(
                        CallFailure.of(kind, String.valueOf(error.getMessage())).withRan(ran));
            }
        };
        try {
            executor.execute(completion);
        } catch (RuntimeException rejected) {
            completion.run();
        }
    }
}

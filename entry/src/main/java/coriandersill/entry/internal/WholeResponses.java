package coriandersill.entry.internal;

import coriandersill.core.BodyMemory;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.Ran;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Ends responses whose body is written as a whole, and accounts for their memory until their callers have read them. A
 * caller has the rest of its call's time and a little more for that; then the response is given up.
 *
 * @param memory the memory of the responses that are not read yet, together
 */
record WholeResponses(Vertx vertx, MonotonicClock clock, BodyMemory memory) {
    /** How long after the deadline of its call a response may occupy memory that its caller has not read. */
    private static final Duration UNREAD_RESPONSE_TIME = Duration.ofSeconds(1);

    /** The part of the heap for responses that are not read yet; the rest is for calls, connections and streams. */
    private static final int HEAP_PARTS = 3;

    /** Returns responses that may occupy a third of the process's heap. */
    static WholeResponses of(EntryContext entry) {
        BodyMemory memory = new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
        return new WholeResponses(entry.vertx(), entry.clock(), memory);
    }

    /**
     * Returns what ends the response to a request with its body, or with a failure if too many are not read yet.
     *
     * @param deadlineNanos the deadline of the call, by the entry's clock
     */
    Consumer<Buffer> endOf(HttpServerRequest request, long deadlineNanos) {
        return body -> end(request, body, deadlineNanos);
    }

    private void end(HttpServerRequest request, Buffer body, long deadlineNanos) {
        HttpServerResponse response = request.response();
        int accountedBytes = BodyMemory.accountedBytes(body.length());
        if (accountedBytes == 0) {
            response.end(body);
            return;
        }
        if (!memory.tryAcquire(accountedBytes)) {
            response.headers().clear();
            ErrorResponses.send(
                    response,
                    CallFailure.of(ErrorKind.OVERLOADED, "body: no memory for further responses")
                            .withRan(Ran.YES));
            return;
        }
        Duration timeLeft = Duration.ofNanos(Math.max(0, deadlineNanos - clock.nanos()));
        long timer = vertx.setTimer(timeLeft.plus(UNREAD_RESPONSE_TIME).toMillis(), expired -> giveUp(request));
        Runnable onWritten = () -> {
            vertx.cancelTimer(timer);
            memory.release(accountedBytes);
        };
        try {
            response.end(body).onComplete(written -> onWritten.run());
        } catch (RuntimeException | Error error) {
            onWritten.run();
            throw error;
        }
    }

    /**
     * Ends the stream, or with HTTP/1.1 the connection, without writing what is queued: the public close waits until
     * the caller has read it.
     */
    private static void giveUp(HttpServerRequest request) {
        if (request.version() == HttpVersion.HTTP_2) {
            request.response().reset();
        } else {
            ((HttpServerConnection) request.connection())
                    .channelHandlerContext()
                    .close();
        }
    }
}

package coriandersill.relay.internal;

import coriandersill.connections.GuardedPort;
import coriandersill.core.CallFailure;
import coriandersill.relay.ResponseHead;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The caller's side of one call: writes the response and reports a disconnect.
 *
 * <p>Confined to the Vert.x context of the caller's connection.
 */
final class CallerConnection {
    private static final String RETRY_AFTER = "Retry-After";

    /** The Retry-After value for failures that specify none. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(200);

    /** Retry-After is at most the caller's remaining time divided by this, which leaves time for the retry itself. */
    private static final int RETRY_AFTER_DIVISOR = 3;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final BooleanSupplier stopping;
    private final Runnable onEnd;
    private Runnable onRelease = () -> {};
    private boolean closed;
    private boolean released;

    /**
     * Creates the caller's side of the call that {@code request} starts; {@code onEnd} runs once when the response is
     * complete or the caller has disconnected.
     */
    CallerConnection(HttpServerRequest request, BooleanSupplier stopping, Runnable onEnd) {
        this.request = request;
        this.response = request.response();
        this.stopping = stopping;
        this.onEnd = onEnd;
    }

    /** Sets the action that runs once if the caller disconnects before the response is complete. */
    void onDisconnect(Runnable action) {
        response.closeHandler(ignored -> disconnected(action));
        response.exceptionHandler(error -> disconnected(action));
    }

    /** Returns whether the response is complete or the caller has disconnected. */
    boolean isClosed() {
        return closed;
    }

    /** Returns whether a part of the response has been sent. */
    boolean hasBegun() {
        return response.headWritten();
    }

    /** Sets a further action that runs once when the response is complete or the caller has disconnected. */
    void onEnd(Runnable action) {
        onRelease = action;
        response.closeHandler(ignored -> disconnected(() -> {}));
        response.exceptionHandler(error -> disconnected(() -> {}));
    }

    /**
     * Closes the connection without writing what is queued: the public close waits until the caller has read it, which
     * one that does not read never does.
     */
    void closeConnection() {
        ((HttpServerConnection) request.connection()).channelHandlerContext().close();
    }

    private void disconnected(Runnable action) {
        if (closed) {
            release();
        } else {
            close(action);
        }
    }

    private void close(Runnable action) {
        closed = true;
        try {
            action.run();
        } finally {
            release();
        }
    }

    /** Ends the response; the call counts until all of it is written, so that a stop waits for a slow caller. */
    private void endWith(Supplier<Future<Void>> end) {
        closed = true;
        Future<Void> written;
        try {
            written = end.get();
        } catch (RuntimeException | Error error) {
            release();
            throw error;
        }
        written.onComplete(ignored -> release());
    }

    private void release() {
        if (released) {
            return;
        }
        released = true;
        try {
            onRelease.run();
        } finally {
            onEnd.run();
        }
    }

    /** Closes the connection whatever was sent on it, since the call can't be answered. */
    void abandon() {
        if (!closed) {
            close(this::closeConnection);
        } else {
            closeConnection();
        }
    }

    /**
     * Sends a complete upstream response.
     *
     * @param onWritten runs once when the response is written or the caller has disconnected, or at once if it is not
     *     sent
     */
    void sendResponse(ResponseHead head, Buffer body, Runnable onWritten) {
        if (closed) {
            onWritten.run();
            return;
        }
        Runnable earlier = onRelease;
        GuardedPort.addUnread(request.connection(), body.length());
        onRelease = () -> {
            GuardedPort.addUnread(request.connection(), -body.length());
            onWritten.run();
            earlier.run();
        };
        writeHead(head);
        endWith(() -> response.end(body));
    }

    /** Starts a streamed response. */
    void startStream(ResponseHead head) {
        writeHead(head);
        response.setChunked(true);
    }

    /** Writes a part of a stream; returns false if the write queue is full, see {@link #onDrained}. */
    boolean write(Buffer bytes) {
        if (closed) {
            return true;
        }
        response.write(bytes);
        return !response.writeQueueFull();
    }

    /** Sets the action that runs when the write queue has drained. */
    void onDrained(Runnable action) {
        response.drainHandler(drained -> action.run());
    }

    /** Ends a complete stream. */
    void end() {
        if (!closed) {
            endWith(response::end);
        }
    }

    /** Responds with a failure, or closes the connection if a part of a response has already been sent. */
    void fail(CallFailure failure, Duration timeLeft) {
        if (closed) {
            return;
        }
        if (response.headWritten()) {
            close(this::breakOff);
        } else {
            close(() -> sendFailure(failure, timeLeft));
        }
    }

    /** Ends a response visibly before its end; without chunks, only a reset shows that it is not complete. */
    private void breakOff() {
        if (request.version() == HttpVersion.HTTP_1_0) {
            Channel channel = ((HttpServerConnection) request.connection())
                    .channelHandlerContext()
                    .channel();
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        } else {
            request.connection().close();
        }
    }

    private void sendFailure(CallFailure failure, Duration timeLeft) {
        int status = HttpStatuses.status(failure);
        // A part of an upstream's head may have been set before its rest was found invalid.
        response.headers().clear();
        response.setChunked(false);
        response.setStatusCode(status);
        if (status == HttpStatuses.UNAVAILABLE) {
            response.putHeader(RETRY_AFTER, retryAfter(failure, timeLeft));
        }
        closeIfStopping();
        response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
        response.end(failure.kind().name().toLowerCase(Locale.ROOT) + ": " + failure.getMessage() + "\n");
    }

    /**
     * Returns the delay in seconds with three decimals. HTTP defines whole seconds only, but the default delay is
     * shorter than one.
     */
    private static String retryAfter(CallFailure failure, Duration timeLeft) {
        Duration requested = failure.retryAfter().isZero() ? DEFAULT_RETRY_AFTER : failure.retryAfter();
        Duration maxWait = timeLeft.dividedBy(RETRY_AFTER_DIVISOR);
        Duration wait = requested.compareTo(maxWait) < 0 ? requested : maxWait;
        return String.format(Locale.ROOT, "%.3f", Math.max(0, wait.toMillis()) / (double) TimeUnit.SECONDS.toMillis(1));
    }

    private void writeHead(ResponseHead head) {
        response.setStatusCode(head.status());
        response.headers().setAll(head.forwardedHeaders());
        closeIfStopping();
    }

    private void closeIfStopping() {
        if (stopping.getAsBoolean()) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }
}

package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.relay.ResponseHead;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** The connection to the caller of one call; confined to its context. */
final class CallerConnection {
    private static final String RETRY_AFTER = "Retry-After";

    /** When to come back where the failure gives no time. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(200);

    /** The part of the time left that callers wait at most before they come back. */
    private static final int LARGEST_RETRY_PART = 3;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final BooleanSupplier stopping;
    private final Runnable ended;
    private boolean over;

    /** Creates the connection of a call; {@code ended} runs once when the caller is answered or has gone. */
    CallerConnection(HttpServerRequest request, BooleanSupplier stopping, Runnable ended) {
        this.request = request;
        this.response = request.response();
        this.stopping = stopping;
        this.ended = ended;
    }

    /** Calls {@code action} once when the caller goes away before the answer is whole. */
    void onLeaving(Runnable action) {
        response.closeHandler(closed -> left(action));
        response.exceptionHandler(error -> left(action));
    }

    private void left(Runnable action) {
        if (!over) {
            end(action);
        }
    }

    private void end(Runnable last) {
        over = true;
        last.run();
        ended.run();
    }

    /** Sends a whole answer of an upstream. */
    void answer(ResponseHead head, Buffer body) {
        if (over) {
            return;
        }
        begin(head);
        end(() -> response.end(body));
    }

    /** Sends the head of a stream. */
    void stream(ResponseHead head) {
        begin(head);
        response.setChunked(true);
    }

    /** Sends a part of a stream; returns false if the caller is to be waited for with {@link #onDrained}. */
    boolean write(Buffer bytes) {
        if (over) {
            return true;
        }
        response.write(bytes);
        return !response.writeQueueFull();
    }

    /** Calls {@code action} when the caller has taken what was written. */
    void onDrained(Runnable action) {
        response.drainHandler(drained -> action.run());
    }

    /** Ends a stream that is whole. */
    void end() {
        if (!over) {
            end(response::end);
        }
    }

    /** Answers with a failure, or breaks the connection off where a part of an answer has been sent. */
    void fail(CallFailure failure, Duration timeLeft) {
        if (over) {
            return;
        }
        if (response.headWritten()) {
            end(() -> request.connection().close());
        } else {
            end(() -> refuse(failure, timeLeft));
        }
    }

    private void refuse(CallFailure failure, Duration timeLeft) {
        int status = HttpStatuses.status(failure);
        response.setStatusCode(status);
        if (status == HttpStatuses.UNAVAILABLE) {
            response.putHeader(RETRY_AFTER, retryAfter(failure, timeLeft));
        }
        closeIfStopping();
        response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
        response.end(failure.kind().name().toLowerCase(Locale.ROOT) + ": " + failure.getMessage() + "\n");
    }

    private static String retryAfter(CallFailure failure, Duration timeLeft) {
        Duration advice = failure.retryAfter().isZero() ? DEFAULT_RETRY_AFTER : failure.retryAfter();
        Duration longest = timeLeft.dividedBy(LARGEST_RETRY_PART);
        Duration wait = advice.compareTo(longest) < 0 ? advice : longest;
        return String.format(Locale.ROOT, "%.3f", Math.max(0, wait.toMillis()) / (double) TimeUnit.SECONDS.toMillis(1));
    }

    private void begin(ResponseHead head) {
        response.setStatusCode(head.status());
        response.headers().setAll(head.forwarded());
        closeIfStopping();
    }

    private void closeIfStopping() {
        if (stopping.getAsBoolean()) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }
}

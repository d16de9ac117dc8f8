package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import io.vertx.core.http.HttpServerResponse;

/** Writes failures by the {@link AnswerTable}. */
final class Responses {
    private Responses() {}

    static void fail(HttpServerResponse response, CallFailure failure) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(AnswerTable.status(failure.kind()));
        response.putHeader("Content-Type", "application/json");
        if (!failure.retryAfter().isZero()) {
            response.putHeader("Retry-After", Long.toString(AnswerTable.retryAfterSeconds(failure)));
        }
        response.end(AnswerTable.body(failure).toBuffer());
    }
}

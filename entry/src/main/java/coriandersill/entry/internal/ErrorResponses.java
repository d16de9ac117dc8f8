package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import io.vertx.core.http.HttpServerResponse;

/** Writes call failures as HTTP responses, as {@link ErrorMapping} maps them. */
final class ErrorResponses {
    private ErrorResponses() {}

    static void send(HttpServerResponse response, CallFailure failure) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(ErrorMapping.status(failure.kind()));
        response.putHeader("Content-Type", "application/json");
        if (!failure.retryAfter().isZero()) {
            response.putHeader("Retry-After", Long.toString(ErrorMapping.retryAfterSeconds(failure)));
        }
        response.end(ErrorMapping.body(failure).toBuffer());
    }
}

package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.events.CallGuard;
import coriandersill.events.EventLog;
import io.vertx.core.http.HttpServerResponse;

/** Writes call failures as HTTP responses, as {@link ErrorMapping} maps them. */
final class ErrorResponses {
    private ErrorResponses() {}

    /** Returns a guard of the steps before and after a call, which answers the request if one throws an error. */
    static CallGuard guard(EventLog events, HttpServerResponse response) {
        return new CallGuard(events, "", failure -> send(response, failure), response::reset);
    }

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

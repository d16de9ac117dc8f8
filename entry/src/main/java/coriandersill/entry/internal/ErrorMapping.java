package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Maps call failures to HTTP status codes and error bodies. */
final class ErrorMapping {
    private static final Map<ErrorKind, Integer> STATUS = new EnumMap<>(ErrorKind.class);

    static {
        STATUS.put(ErrorKind.INVALID_REQUEST, 400);
        STATUS.put(ErrorKind.UNAUTHENTICATED, 401);
        STATUS.put(ErrorKind.FORBIDDEN, 403);
        STATUS.put(ErrorKind.NOT_FOUND, 404);
        STATUS.put(ErrorKind.QUOTA_EXCEEDED, 429);
        STATUS.put(ErrorKind.OVERLOADED, 503);
        STATUS.put(ErrorKind.UNAVAILABLE, 503);
        STATUS.put(ErrorKind.QUARANTINED, 503);
        STATUS.put(ErrorKind.DRAINING, 503);
        STATUS.put(ErrorKind.DEADLINE_EXCEEDED, 504);
        STATUS.put(ErrorKind.FENCED, 409);
        STATUS.put(ErrorKind.LOG_UNAVAILABLE, 503);
        STATUS.put(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, 400);
        STATUS.put(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, 400);
        STATUS.put(ErrorKind.IDEMPOTENCY_KEY_REUSED, 422);
        STATUS.put(ErrorKind.IN_PROGRESS, 409);
        STATUS.put(ErrorKind.OUTCOME_UNKNOWN, 502);
        STATUS.put(ErrorKind.UPSTREAM_ERROR, 502);
        STATUS.put(ErrorKind.UPSTREAM_ENDED, 502);
        STATUS.put(ErrorKind.GENERATION_INTERRUPTED, 502);
        STATUS.put(ErrorKind.CANCELLED, 499);
        STATUS.put(ErrorKind.CONFLICT, 409);
        STATUS.put(ErrorKind.INTERNAL, 500);
    }

    private ErrorMapping() {}

    static int status(ErrorKind kind) {
        return STATUS.get(kind);
    }

    /** Returns the error body: the kind of failure, whether the call ran, and when to retry. */
    static JsonObject body(CallFailure failure) {
        JsonObject error = new JsonObject()
                .put("kind", failure.kind().name().toLowerCase(Locale.ROOT))
                .put("message", failure.getMessage())
                .put("ran", failure.ran().name().toLowerCase(Locale.ROOT));
        if (!failure.retryAfter().isZero()) {
            error.put("retry_after_ms", failure.retryAfter().toMillis());
        }
        return new JsonObject().put("error", error);
    }

    /** Returns the value of the {@code Retry-After} header: whole seconds, rounded up. */
    static long retryAfterSeconds(CallFailure failure) {
        return (failure.retryAfter().toMillis() + 999) / 1_000;
    }
}

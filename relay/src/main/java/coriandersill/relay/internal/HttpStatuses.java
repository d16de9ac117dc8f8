package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;

/** Maps failures to HTTP statuses. */
final class HttpStatuses {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private HttpStatuses() {}

    /**
     * Returns the status of a failure; 503 is used only if the call certainly has not been executed and will not be.
     */
    static int status(CallFailure failure) {
        return switch (failure.kind()) {
            case INVALID_REQUEST -> BAD_REQUEST;
            case UNAUTHENTICATED -> UNAUTHORIZED;
            case FORBIDDEN -> FORBIDDEN;
            case NOT_FOUND -> NOT_FOUND;
            default -> failure.ran() == Ran.NO ? UNAVAILABLE : statusOfUnknownOutcome(failure.kind());
        };
    }

    private static int statusOfUnknownOutcome(ErrorKind kind) {
        return kind == ErrorKind.DEADLINE_EXCEEDED ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    }
}

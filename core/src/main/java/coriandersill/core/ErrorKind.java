package coriandersill.core;

/**
 * The kinds of failure of a call or a command.
 *
 * <p>Each kind states whether the work was executed. Each front end maps the kinds to its own representation, such as
 * an HTTP status or an exit code.
 */
public enum ErrorKind {
    /** The request is malformed, too large or contains unknown values. */
    INVALID_REQUEST(Ran.NO),
    /** The call's API key belongs to no workspace. */
    UNAUTHENTICATED(Ran.NO),
    /** The workspace is not permitted to use this service. */
    FORBIDDEN(Ran.NO),
    /** The service, route or document does not exist. */
    NOT_FOUND(Ran.NO),
    /** The workspace has reached its own cap. */
    QUOTA_EXCEEDED(Ran.NO),
    /** No upstream has capacity before the deadline. */
    OVERLOADED(Ran.NO),
    /** No upstream in service can take this call. */
    UNAVAILABLE(Ran.NO),
    /** A part of the prompt has crashed engines, so the generation is not sent to another one. */
    QUARANTINED(Ran.NO),
    /** The process is shutting down and accepts no new work. */
    DRAINING(Ran.NO),
    /** The deadline passed; the work was not dispatched unless {@link CallFailure#ran()} states otherwise. */
    DEADLINE_EXCEEDED(Ran.NO),
    /**
     * The call or order is a duplicate or outdated, according to its fencing token, its attempt number or the stamp of
     * the dispatch gate.
     */
    FENCED(Ran.NO),
    /** The platform's log is unreachable and this call requires it. */
    LOG_UNAVAILABLE(Ran.NO),
    /** The call is not idempotent and has no usable idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED(Ran.NO),
    /** The idempotency key is older than the window in which duplicates are detected. */
    IDEMPOTENCY_KEY_EXPIRED(Ran.NO),
    /** The idempotency key was already used with another body, route or service. */
    IDEMPOTENCY_KEY_REUSED(Ran.NO),
    /** The first call with this idempotency key is still running. */
    IN_PROGRESS(Ran.UNKNOWN),
    /** The call was dispatched and its outcome was lost. */
    OUTCOME_UNKNOWN(Ran.UNKNOWN),
    /** The upstream returned an error. */
    UPSTREAM_ERROR(Ran.YES),
    /** The upstream's process ended before the call had produced anything, and may have ended because of it. */
    UPSTREAM_ENDED(Ran.YES),
    /** The generation was interrupted after some of its tokens were delivered. */
    GENERATION_INTERRUPTED(Ran.YES),
    /** The caller disconnected before the call completed. */
    CANCELLED(Ran.UNKNOWN),
    /** A change is based on a version that is no longer current. */
    CONFLICT(Ran.NO),
    /** An internal error. */
    INTERNAL(Ran.UNKNOWN);

    private final Ran ran;

    ErrorKind(Ran ran) {
        this.ran = ran;
    }

    /** Whether the work was executed, unless the {@link CallFailure} overrides it. */
    public Ran ran() {
        return ran;
    }
}

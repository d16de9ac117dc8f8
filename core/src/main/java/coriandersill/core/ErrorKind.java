package coriandersill.core;

/**
 * The closed list of the ways in which a call or a command fails.
 *
 * <p>Each kind says whether the work ran. How a kind is answered (an HTTP status, an exit code) is a table of the front
 * end that answers.
 */
public enum ErrorKind {
    /** The request itself is wrong: malformed, too large, or with unknown values. */
    INVALID_REQUEST(Ran.NO),
    /** No workspace has the key that came with the call. */
    UNAUTHENTICATED(Ran.NO),
    /** The workspace may not use this service, version or key. */
    FORBIDDEN(Ran.NO),
    /** No such service, route or document. */
    NOT_FOUND(Ran.NO),
    /** The workspace is at its own cap. */
    QUOTA_EXCEEDED(Ran.NO),
    /** No upstream has room before the deadline. */
    OVERLOADED(Ran.NO),
    /** No upstream is in service for this call. */
    UNAVAILABLE(Ran.NO),
    /** The process is going down and takes no new work. */
    DRAINING(Ran.NO),
    /** The deadline passed before the work was handed on. */
    DEADLINE_EXCEEDED(Ran.NO),
    /** The fencing token or the attempt is older than one already seen. */
    FENCED(Ran.NO),
    /** The platform's log does not answer, and this call needs it. */
    LOG_UNAVAILABLE(Ran.NO),
    /** The call may not be repeated and came without a usable idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED(Ran.NO),
    /** The idempotency key is older than the window in which repeats are recognised. */
    IDEMPOTENCY_KEY_EXPIRED(Ran.NO),
    /** The idempotency key was used before with another body, route or service. */
    IDEMPOTENCY_KEY_REUSED(Ran.NO),
    /** The first call with this idempotency key still runs. */
    IN_PROGRESS(Ran.UNKNOWN),
    /** The call was handed on and its outcome was lost. */
    OUTCOME_UNKNOWN(Ran.UNKNOWN),
    /** The upstream answered with an error of its own. */
    UPSTREAM_ERROR(Ran.YES),
    /** The generation broke off after some of its tokens were delivered. */
    GENERATION_INTERRUPTED(Ran.YES),
    /** The caller went away. */
    CANCELLED(Ran.UNKNOWN),
    /** A change was made on a base that is no longer current. */
    CONFLICT(Ran.NO),
    /** A fault of the system itself. */
    INTERNAL(Ran.UNKNOWN);

    private final Ran ran;

    ErrorKind(Ran ran) {
        this.ran = ran;
    }

    /** Whether the work ran, unless the failure says otherwise. */
    public Ran ran() {
        return ran;
    }
}

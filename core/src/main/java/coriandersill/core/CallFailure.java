package coriandersill.core;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * The failure of a call or command, classified by {@link ErrorKind}; futures complete exceptionally with it.
 *
 * <pre>{@code
 * return CallFailure.of(ErrorKind.OVERLOADED, "no upstream of scribe has room").asFuture();
 * }</pre>
 *
 * <p>It has no stack trace, because it reports an expected outcome rather than a bug.
 */
public final class CallFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final Ran ran;
    private final Duration retryAfter;

    private CallFailure(ErrorKind kind, Ran ran, String message, Duration retryAfter) {
        super(message, null, false, false);
        this.kind = Objects.requireNonNull(kind, "kind");
        this.ran = Objects.requireNonNull(ran, "ran");
        this.retryAfter = Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /** Returns a failure with the kind's default {@link Ran} value and no retry delay. */
    public static CallFailure of(ErrorKind kind, String message) {
        return new CallFailure(kind, kind.ran(), message, Duration.ZERO);
    }

    /** Unwraps the failure from {@code error}, or returns an {@link ErrorKind#INTERNAL} failure for any other error. */
    public static CallFailure from(Throwable error) {
        Throwable cause = error;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof CallFailure) {
            return (CallFailure) cause;
        }
        return of(ErrorKind.INTERNAL, cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }

    /** Returns a copy of this failure with another {@link Ran} value. */
    public CallFailure withRan(Ran newRan) {
        return new CallFailure(kind, newRan, getMessage(), retryAfter);
    }

    /** Returns a copy of this failure that advises the caller to retry after {@code delay}. */
    public CallFailure withRetryAfter(Duration delay) {
        return new CallFailure(kind, ran, getMessage(), delay);
    }

    /** The kind of failure. */
    public ErrorKind kind() {
        return kind;
    }

    /** Whether the upstream executed the work. */
    public Ran ran() {
        return ran;
    }

    /** The delay before a retry; zero if none is advised. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Returns a future that is completed exceptionally with this failure. */
    public <T> CompletableFuture<T> asFuture() {
        return CompletableFuture.failedFuture(this);
    }
}

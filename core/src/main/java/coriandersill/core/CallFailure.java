package coriandersill.core;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * A failure of one of the closed list of kinds, carried by failed futures.
 *
 * <pre>{@code
 * return CallFailure.of(ErrorKind.OVERLOADED, "no upstream of scribe has room").asFuture();
 * }</pre>
 *
 * <p>It has no stack trace: it is an answer, not a fault of the program.
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

    /** Returns a failure with the kind's own statement of whether the work ran, and no advice to retry. */
    public static CallFailure of(ErrorKind kind, String message) {
        return new CallFailure(kind, kind.ran(), message, Duration.ZERO);
    }

    /** Returns the failure that {@code error} carries, or an {@link ErrorKind#INTERNAL} one for any other error. */
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

    /** Returns the same failure with another statement of whether the work ran. */
    public CallFailure withRan(Ran other) {
        return new CallFailure(kind, other, getMessage(), retryAfter);
    }

    /** Returns the same failure with the advice to retry after {@code delay}. */
    public CallFailure withRetryAfter(Duration delay) {
        return new CallFailure(kind, ran, getMessage(), delay);
    }

    /** The kind of failure. */
    public ErrorKind kind() {
        return kind;
    }

    /** Whether the work ran. */
    public Ran ran() {
        return ran;
    }

    /** When to retry; zero when there is no advice. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Returns a future that has failed with this. */
    public <T> CompletableFuture<T> asFuture() {
        return CompletableFuture.failedFuture(this);
    }
}

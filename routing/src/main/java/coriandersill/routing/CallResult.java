package coriandersill.routing;

import coriandersill.core.ErrorKind;
import java.util.Objects;

/**
 * The outcome of one attempt at an upstream.
 *
 * @param kind the kind of outcome
 * @param firstTokenNanos time from dispatch to the first token, or to the response of a plain call; 0 if there was none
 * @param betweenTokensNanos mean time between tokens; 0 if there were fewer than two
 * @param tokens number of tokens delivered; 0 for a plain call
 */
public record CallResult(Kind kind, long firstTokenNanos, long betweenTokensNanos, long tokens) {

    /** Classifies an attempt by what it says about the health of the upstream. */
    public enum Kind {
        /** The upstream responded successfully. */
        OK,
        /** The upstream failed or the connection to it was lost; counts as an upstream error. */
        FAILED,
        /**
         * The call was refused, or failed with an error that does not count against the upstream's health, such as an
         * exceeded deadline.
         */
        REFUSED,
        /** The caller cancelled the call. */
        CANCELLED
    }

    /** Rejects null. */
    public CallResult {
        Objects.requireNonNull(kind, "kind");
    }

    /** Returns the result of a successful attempt. */
    public static CallResult ok(long firstTokenNanos, long betweenTokensNanos, long tokens) {
        return new CallResult(Kind.OK, firstTokenNanos, betweenTokensNanos, tokens);
    }

    /** Returns the result of an attempt that failed with {@code error}. */
    public static CallResult failed(ErrorKind error) {
        return new CallResult(kindOf(error), 0, 0, 0);
    }

    private static Kind kindOf(ErrorKind error) {
        return switch (error) {
            case UPSTREAM_ERROR, UPSTREAM_ENDED, GENERATION_INTERRUPTED, OUTCOME_UNKNOWN, UNAVAILABLE, INTERNAL -> Kind
                    .FAILED;
            case CANCELLED -> Kind.CANCELLED;
            default -> Kind.REFUSED;
        };
    }
}

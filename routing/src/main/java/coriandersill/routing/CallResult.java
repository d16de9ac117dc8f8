package coriandersill.routing;

import coriandersill.core.ErrorKind;
import java.util.Objects;

/**
 * How one attempt at an upstream ended.
 *
 * @param kind how it ended
 * @param firstTokenNanos time from dispatch to the first token, or to the answer of a plain call; 0 if there was none
 * @param betweenTokensNanos mean time between tokens; 0 if there were fewer than two
 * @param tokens tokens delivered; 0 for a plain call
 */
public record CallResult(Kind kind, long firstTokenNanos, long betweenTokensNanos, long tokens) {

    /** How an attempt ended, as far as the health of the upstream is concerned. */
    public enum Kind {
        /** The upstream answered. */
        OK,
        /** The upstream failed or was lost: it counts against it. */
        FAILED,
        /** The call did not run there, for a reason that says nothing of the upstream's health. */
        REFUSED,
        /** The caller went away. */
        CANCELLED
    }

    /** Refuses null. */
    public CallResult {
        Objects.requireNonNull(kind, "kind");
    }

    /** Returns the result of an attempt that was answered. */
    public static CallResult ok(long firstTokenNanos, long betweenTokensNanos, long tokens) {
        return new CallResult(Kind.OK, firstTokenNanos, betweenTokensNanos, tokens);
    }

    /** Returns the result of an attempt that failed with {@code error}. */
    public static CallResult failed(ErrorKind error) {
        return new CallResult(kindOf(error), 0, 0, 0);
    }

    private static Kind kindOf(ErrorKind error) {
        return switch (error) {
            case UPSTREAM_ERROR, GENERATION_INTERRUPTED, OUTCOME_UNKNOWN, UNAVAILABLE, INTERNAL -> Kind.FAILED;
            case CANCELLED -> Kind.CANCELLED;
            default -> Kind.REFUSED;
        };
    }
}

package coriandersill.configuration.log;

import coriandersill.configuration.Verdict;
import java.util.Objects;
import java.util.Optional;

/**
 * What became of a change set that an operator applied.
 *
 * @param outcome the answer
 * @param verdict the verdict of the log's order; empty when it is unknown or the change set was not appended
 * @param message why, for {@code UNKNOWN} and {@code NOT_APPENDED}; else empty
 */
public record ApplyResult(Outcome outcome, Optional<Verdict> verdict, String message) {

    /** Refuses null. */
    public ApplyResult {
        Objects.requireNonNull(outcome, "answer");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(message, "message");
    }

    /** The ways in which applying a change set ends. */
    public enum Outcome {
        /** It is accepted and comes into force everywhere. */
        ACCEPTED,
        /** A document had changed, or the base is too old: nothing was applied. */
        CONFLICT,
        /** It is wrong: nothing was applied. */
        INVALID,
        /** The log does not answer: it may or may not be applied; the same change set may be applied again. */
        UNKNOWN,
        /** The log does not answer, and the change set was certainly not appended. */
        NOT_APPENDED
    }

    static ApplyResult of(Verdict verdict) {
        if (verdict instanceof Verdict.Duplicate duplicate) {
            return of(duplicate.first());
        }
        return new ApplyResult(outcome(verdict), Optional.of(verdict), "");
    }

    private static Outcome outcome(Verdict verdict) {
        if (verdict instanceof Verdict.Accepted) {
            return Outcome.ACCEPTED;
        }
        if (verdict instanceof Verdict.Invalid) {
            return Outcome.INVALID;
        }
        boolean conflict = verdict instanceof Verdict.Conflict || verdict instanceof Verdict.Stale;
        return conflict ? Outcome.CONFLICT : Outcome.UNKNOWN;
    }

    static ApplyResult failed(boolean mayBeAppended, String message) {
        return new ApplyResult(mayBeAppended ? Outcome.UNKNOWN : Outcome.NOT_APPENDED, Optional.empty(), message);
    }
}

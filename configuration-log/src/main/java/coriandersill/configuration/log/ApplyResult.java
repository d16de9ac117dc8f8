package coriandersill.configuration.log;

import coriandersill.configuration.Verdict;
import java.util.Objects;
import java.util.Optional;

/**
 * The result of applying a change set.
 *
 * @param outcome how the attempt ended
 * @param verdict the verdict on the change set at its position in the log; empty if it is unknown or the change set was
 *     not appended
 * @param message the cause for {@code UNKNOWN} and {@code NOT_APPENDED}; empty otherwise
 */
public record ApplyResult(Outcome outcome, Optional<Verdict> verdict, String message) {

    /** Rejects null. */
    public ApplyResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(message, "message");
    }

    /** The possible outcomes of applying a change set. */
    public enum Outcome {
        /** The change set was accepted and will take effect in every process. */
        ACCEPTED,
        /** A document has changed since, or the base state is too old; nothing was applied. */
        CONFLICT,
        /** The change set is invalid; nothing was applied. */
        INVALID,
        /** The log did not answer, so the change set may or may not be applied. It is safe to apply it again. */
        UNKNOWN,
        /** The log did not answer, and the change set was not appended. */
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

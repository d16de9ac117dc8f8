package coriandersill.configuration;

import java.util.List;

/** The decision of {@link ConfigurationStateMachine} on one record; the same in every process. */
public sealed interface Verdict {

    /**
     * The change set is accepted.
     *
     * @param position its position, which is the new version of every document it created or replaced
     */
    record Accepted(long position) implements Verdict {}

    /**
     * The change set was based on document versions that are no longer current.
     *
     * @param documents the documents whose versions differ
     */
    record Conflict(List<DocumentConflict> documents) implements Verdict {

        /** Copies the documents. */
        public Conflict {
            documents = List.copyOf(documents);
        }
    }

    /**
     * One document in a conflict.
     *
     * @param name the name of the document
     * @param base the version that the change set was based on; -1 for none
     * @param current the version at the change set's position in the stream; -1 for none
     * @param author who made the current version or deleted the document; empty if no longer known
     */
    record DocumentConflict(DocumentName name, long base, long current, String author) {}

    /**
     * The change set was based on a state older than the history, so that it cannot be determined whether it was
     * already applied.
     *
     * @param basedOn the position of the state that it was based on
     * @param oldest the oldest position that a change set may be based on
     */
    record Stale(long basedOn, long oldest) implements Verdict {}

    /**
     * The change set would make the configuration invalid, or is itself malformed.
     *
     * @param problems the problems found
     */
    record Invalid(List<Problem> problems) implements Verdict {

        /** Copies the problems. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The record is kept pending: records before it are missing, or its schema is not supported by this software
     * version. It is decided when a snapshot or a peer supplies the state before it, or skipped when one includes it.
     *
     * @param position the position of the accepted state
     * @param reason why it cannot be decided yet
     */
    record Undecided(long position, String reason) implements Verdict {}

    /**
     * The change set has the same id as an earlier one and is not applied again.
     *
     * @param position the position of the earlier change set
     * @param first the verdict on the earlier change set
     */
    record Duplicate(long position, Verdict first) implements Verdict {}

    /**
     * A snapshot or a peer's state was adopted, which advanced this process.
     *
     * @param from the previous position
     * @param to the new position, including pending records that could then be decided
     */
    record Adopted(long from, long to) implements Verdict {}

    /**
     * The record changes nothing.
     *
     * @param reason why it is ignored
     */
    record Ignored(String reason) implements Verdict {}
}

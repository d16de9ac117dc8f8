package coriandersill.configuration;

import java.util.List;

/** What {@link ConfigurationFold} decides about one record; the same in every process. */
public sealed interface Verdict {

    /**
     * The change set is accepted.
     *
     * @param position its position, the new version of every document that it put
     */
    record Accepted(long position) implements Verdict {}

    /**
     * The change set was made on versions that were no longer current.
     *
     * @param documents the documents that had changed
     */
    record Conflict(List<DocumentConflict> documents) implements Verdict {

        /** Copies the documents. */
        public Conflict {
            documents = List.copyOf(documents);
        }
    }

    /**
     * One document of a conflict.
     *
     * @param name the document
     * @param base the version that the change set was made on; -1 for none
     * @param current the version at the change set's place in the stream; -1 for none
     * @param author who made the current version; empty when that is no longer known
     */
    record DocumentConflict(DocumentName name, long base, long current, String author) {}

    /**
     * The change set was made on a state that is older than the remembered history, so that it cannot be known whether
     * it was applied before.
     *
     * @param basedOn the position that it was made on
     * @param oldest the oldest position that is taken
     */
    record Stale(long basedOn, long oldest) implements Verdict {}

    /**
     * The change set would leave the configuration wrong.
     *
     * @param problems every problem found
     */
    record Invalid(List<Problem> problems) implements Verdict {

        /** Copies the problems. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The record is kept until a snapshot or a peer gives the state that it follows.
     *
     * @param position the last position that is known
     * @param reason why it cannot be decided yet
     */
    record Undecided(long position, String reason) implements Verdict {}

    /**
     * The change set has the id of an earlier one.
     *
     * @param position the position of the earlier one
     * @param first the verdict on the earlier one
     */
    record Duplicate(long position, Verdict first) implements Verdict {}

    /**
     * A snapshot moved this process forward.
     *
     * @param from the position before
     * @param to the position after, records that had been undecided included
     */
    record Adopted(long from, long to) implements Verdict {}

    /**
     * The record changes nothing.
     *
     * @param reason why
     */
    record Ignored(String reason) implements Verdict {}
}

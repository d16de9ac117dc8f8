package coriandersill.duties;

/** What an entry does next about the lease on the duties. */
public sealed interface LeaseStep {

    /** Nothing is to be done now. */
    record Idle() implements LeaseStep {}

    /** Read the end of the topic and its latest lease record, then call {@link DutyLease#read}. */
    record Read() implements LeaseStep {}

    /**
     * Append a lease record on the condition that the topic ends at {@code at}, then call {@link DutyLease#appended},
     * {@link DutyLease#conflicted} or {@link DutyLease#unanswered}.
     *
     * @param at the end of the topic that the append requires
     * @param sequence the number of the lease record
     * @param token the token to write into a renewal; 0 in a claim, whose token follows from its offset
     */
    record Append(LogEnd at, long sequence, long token) implements LeaseStep {

        /** Returns whether this is a claim, not a renewal. */
        public boolean isClaim() {
            return token == 0;
        }
    }
}

package coriandersill.relay.internal;

/**
 * Criteria for selecting the target engine of a move.
 *
 * @param anyZone whether there is time for a copy to another availability zone
 * @param otherEntriesTokens the memory, in tokens, that other entries' earlier moves will occupy on the targets
 * @param mayWait whether a target without a free slot, where the generation has to wait, is better than none
 */
record TargetCriteria(boolean anyZone, long otherEntriesTokens, boolean mayWait) {
    /** Prefers the same availability zone and assumes no moves of other entries. */
    static final TargetCriteria PREFER_SAME_ZONE = new TargetCriteria(false, 0);

    /** Creates criteria for a generation that still runs, which a target without a free slot would interrupt. */
    TargetCriteria(boolean anyZone, long otherEntriesTokens) {
        this(anyZone, otherEntriesTokens, false);
    }

    /** Returns the same criteria for a generation that no longer runs. */
    TargetCriteria withWait() {
        return new TargetCriteria(anyZone, otherEntriesTokens, true);
    }
}

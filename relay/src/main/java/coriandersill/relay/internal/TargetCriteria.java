package coriandersill.relay.internal;

/**
 * Criteria for selecting the target engine of a move.
 *
 * @param anyZone whether there is time for a copy to another availability zone
 * @param otherEntriesTokens the memory, in tokens, that other entries' earlier moves will occupy on the targets
 */
record TargetCriteria(boolean anyZone, long otherEntriesTokens) {
    /** Prefers the same availability zone and assumes no moves of other entries. */
    static final TargetCriteria PREFER_SAME_ZONE = new TargetCriteria(false, 0);
}

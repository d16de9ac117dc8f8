package coriandersill.relay.internal;

/**
 * What the choice of a target goes by.
 *
 * @param anyZone whether there is time for a copy to another availability zone
 * @param othersTokens the memory that generations of other entries take at the targets before this one
 */
record TargetCriteria(boolean anyZone, long othersTokens) {
    /** To an engine that is near, with nothing known of others' moves. */
    static final TargetCriteria NEAR = new TargetCriteria(false, 0);
}

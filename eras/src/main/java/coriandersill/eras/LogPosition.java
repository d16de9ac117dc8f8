package coriandersill.eras;

/**
 * The position of a record in a log that may be restored from an older copy, which gives offsets out again.
 *
 * @param era the number of restorations before the record was read; 0 if the log does not state it
 * @param offset the offset within the era
 */
public record LogPosition(long era, long offset) {

    /**
     * Returns whether a record here is older than one at {@code other}. Offsets of different eras don't compare; what
     * was read in a later era is newer.
     */
    public boolean isBefore(LogPosition other) {
        return era == other.era ? offset < other.offset : era < other.era;
    }
}

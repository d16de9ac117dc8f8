package coriandersill.eras;

/**
 * Decides for each answer of a log whether its offsets belong to the era that the reader knows. Not thread-safe.
 *
 * <p>Bad statements change nothing: an era that is missing, although an earlier answer stated one, or malformed counts
 * as the known one.
 */
public final class EraTracker {
    private long current;
    private boolean statedBefore;

    /** What an answer means to the reader. */
    public enum Observation {
        /** Its offsets belong to the known era. */
        SAME,
        /** The log was restored: what was read before may be older or newer than what the log has now. */
        RESTORED,
        /** Its offsets belong to an earlier era: the answer is late, or bad; it must be left out. */
        OUTDATED,
        /** It states no valid era; its offsets count as those of the known era. */
        INVALID
    }

    /** Returns the known era; 0 until an answer states one. */
    public long current() {
        return current;
    }

    /**
     * Records an answer of the log.
     *
     * @param isFirst whether nothing was read before, so that there is nothing that a restoration could have changed
     */
    public Observation observe(EraStatement statement, boolean isFirst) {
        if (statement instanceof EraStatement.Stated stated) {
            return observe(stated.era(), isFirst);
        }
        return statement.equals(EraStatement.NONE) && !statedBefore ? Observation.SAME : Observation.INVALID;
    }

    private Observation observe(long era, boolean isFirst) {
        statedBefore = true;
        if (era < current) {
            return Observation.OUTDATED;
        }
        boolean restored = era > current && !isFirst;
        current = era;
        return restored ? Observation.RESTORED : Observation.SAME;
    }
}

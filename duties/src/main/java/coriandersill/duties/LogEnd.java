package coriandersill.duties;

/**
 * The end of the duties' topic.
 *
 * @param era the number of times that the store was restored from an older copy
 * @param offset the offset that the next record gets in that era
 */
public record LogEnd(long era, long offset) implements Comparable<LogEnd> {

    @Override
    public int compareTo(LogEnd other) {
        return era == other.era ? Long.compare(offset, other.offset) : Long.compare(era, other.era);
    }
}

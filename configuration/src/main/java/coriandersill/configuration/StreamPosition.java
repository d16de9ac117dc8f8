package coriandersill.configuration;

/**
 * Positions in the configuration stream. A position combines an offset with an epoch, the number of times that the
 * stream's offsets have restarted.
 *
 * <p>A position is a {@code long} that increases with every record, even across a restart of the offsets. Before the
 * first restart it equals the offset. The version of a document is the position of its last change; -1 means none.
 */
public final class StreamPosition {
    /** The position before the first record, and the version of a document that does not exist. */
    public static final long NONE = -1;

    private static final int OFFSET_BITS = 40;
    private static final long OFFSET_MASK = (1L << OFFSET_BITS) - 1;

    private StreamPosition() {}

    /** Returns the position of {@code offset} in {@code epoch}; -1 for a negative offset in epoch 0. */
    public static long of(long epoch, long offset) {
        return offset < 0 && epoch == 0 ? NONE : (epoch << OFFSET_BITS) + offset;
    }

    /** Returns the epoch of a position; 0 for {@link #NONE}. */
    public static long epoch(long position) {
        return position < 0 ? 0 : position >>> OFFSET_BITS;
    }

    /** Returns the offset of a position; -1 for {@link #NONE}. */
    public static long offset(long position) {
        return position < 0 ? NONE : position & OFFSET_MASK;
    }
}

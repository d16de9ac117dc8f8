package coriandersill.configuration;

/**
 * Positions in the configuration stream: an offset together with the number of times that the offsets have restarted.
 *
 * <p>A position is a {@code long} that grows with every record, also across a restart of the stream's offsets. Before
 * the first restart it equals the offset. The versions of documents are positions; -1 stands for none.
 */
public final class StreamPosition {
    /** The position before the first record, and the version of a document that does not exist. */
    public static final long NONE = -1;

    private static final int OFFSET_BITS = 40;
    private static final long OFFSET_MASK = (1L << OFFSET_BITS) - 1;

    private StreamPosition() {}

    /** Returns the position of {@code offset} after {@code epoch} restarts; -1 for an offset below 0. */
    public static long of(long epoch, long offset) {
        return offset < 0 && epoch == 0 ? NONE : (epoch << OFFSET_BITS) + offset;
    }

    /** The number of restarts before the position; 0 for {@link #NONE}. */
    public static long epoch(long position) {
        return position < 0 ? 0 : position >>> OFFSET_BITS;
    }

    /** The offset in the stream; -1 for {@link #NONE}. */
    public static long offset(long position) {
        return position < 0 ? NONE : position & OFFSET_MASK;
    }
}

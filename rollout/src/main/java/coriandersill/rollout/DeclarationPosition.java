package coriandersill.rollout;

/**
 * The position of a declaration in a log that may be restored from an older copy, as one number: its order is that of
 * eras, the restorations before the declaration was read, and within an era that of offsets.
 */
public final class DeclarationPosition {
    private static final int OFFSET_BITS = 32;
    private static final long OFFSET_MASK = (1L << OFFSET_BITS) - 1;

    /** The maximum era, so that a position is exact in a JSON number; a later one counts as this one. */
    private static final long MAX_ERA = (1L << 21) - 1;

    private DeclarationPosition() {}

    /**
     * Returns the number of a position.
     *
     * @throws IllegalArgumentException if the era is negative, or the offset is not from 0 to 2^32 - 1
     */
    public static long of(long era, long offset) {
        if (era < 0 || offset < 0 || offset > OFFSET_MASK) {
            throw new IllegalArgumentException(
                    "expected an era from 0 and an offset from 0 to " + OFFSET_MASK + ", found " + era + ", " + offset);
        }
        return (Math.min(era, MAX_ERA) << OFFSET_BITS) + offset;
    }

    /** Returns the era of a position. */
    public static long era(long position) {
        return position >>> OFFSET_BITS;
    }

    /** Returns the offset of a position within its era. */
    public static long offset(long position) {
        return position & OFFSET_MASK;
    }
}

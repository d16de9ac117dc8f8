package coriandersill.duties;

/** Derives fencing tokens, which rise with each claim, also across a restoration of the store from an older copy. */
public final class FencingTokens {
    /** Bits of the offset; at a record each second, offsets of this size last for more than a century. */
    private static final int OFFSET_BITS = 32;

    /** The maximum era, so that a token is exact in a JSON number. */
    private static final long MAX_ERA = (1L << 21) - 1;

    private FencingTokens() {}

    /**
     * Returns the token of a claim.
     *
     * @param era the era of the store in which the claim was accepted
     * @param offset the offset of the claim
     * @throws IllegalArgumentException if a value is negative or too large
     */
    public static long of(long era, long offset) {
        if (era < 0 || era > MAX_ERA || offset < 0 || offset >= 1L << OFFSET_BITS) {
            throw new IllegalArgumentException(
                    "expected an era up to " + MAX_ERA + " and an offset below 2^32, found " + era + ", " + offset);
        }
        // Offsets start at 0; a token of 0 could be taken for a missing one.
        return (era << OFFSET_BITS) + offset + 1;
    }
}

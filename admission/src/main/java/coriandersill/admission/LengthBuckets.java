package coriandersill.admission;

/** Divides lengths into buckets: four per power of two, each at least 4 tokens wide. */
final class LengthBuckets {
    /** The upper bound of the last bucket; lengths from this one on are counted in the last bucket as well. */
    static final int LIMIT_TOKENS = 65_536;

    /** Four buckets below {@link #LINEAR_TOKENS}, and four for each of the 12 powers of two from there on. */
    static final int COUNT = 52;

    /** Buckets below this length are 4 tokens wide; from here on there are four per power of two. */
    private static final int LINEAR_TOKENS = 16;

    private LengthBuckets() {}

    /** Returns the index of the bucket that contains {@code tokens}, which is 0 or more. */
    static int index(int tokens) {
        if (tokens < LINEAR_TOKENS) {
            return tokens >> 2;
        }
        if (tokens >= LIMIT_TOKENS) {
            return COUNT - 1;
        }
        int exponent = 31 - Integer.numberOfLeadingZeros(tokens);
        return 4 * (exponent - 3) + ((tokens >> (exponent - 2)) & 3);
    }

    /** Returns the smallest length in the bucket. */
    static int lower(int index) {
        if (index < 4) {
            return index << 2;
        }
        int exponent = index / 4 + 3;
        return (4 + index % 4) << (exponent - 2);
    }

    /** Returns the smallest length above the bucket. */
    static int upper(int index) {
        return lower(index + 1);
    }

    static int width(int index) {
        return upper(index) - lower(index);
    }
}

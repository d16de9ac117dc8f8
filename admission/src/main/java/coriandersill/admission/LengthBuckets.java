package coriandersill.admission;

/** Divides lengths into buckets: four per power of two, each at least 4 tokens wide. */
final class LengthBuckets {
    /** Lengths from this one on fall into the last bucket. */
    static final int LIMIT_TOKENS = 65_536;

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
        int octave = 31 - Integer.numberOfLeadingZeros(tokens);
        return 4 * (octave - 3) + ((tokens >> (octave - 2)) & 3);
    }

    /** Returns the smallest length in the bucket. */
    static int lower(int index) {
        if (index < 4) {
            return index << 2;
        }
        int octave = index / 4 + 3;
        return (4 + index % 4) << (octave - 2);
    }

    /** Returns the smallest length above the bucket. */
    static int upper(int index) {
        return lower(index + 1);
    }

    static int width(int index) {
        return upper(index) - lower(index);
    }
}

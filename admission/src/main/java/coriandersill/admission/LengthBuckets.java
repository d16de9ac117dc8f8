package coriandersill.admission;

/** The division of lengths into buckets: four to each doubling, from 4 tokens wide upwards. */
final class LengthBuckets {
    /** Lengths from here on share the last bucket. */
    static final int LIMIT_TOKENS = 65_536;

    static final int COUNT = 52;
    private static final int LINEAR_TOKENS = 16;

    private LengthBuckets() {}

    /** Returns the bucket that {@code tokens}, 0 or more, falls into. */
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

    /** Returns the least length in the bucket. */
    static int lower(int index) {
        if (index < 4) {
            return index << 2;
        }
        int octave = index / 4 + 3;
        return (4 + index % 4) << (octave - 2);
    }

    /** Returns the least length beyond the bucket. */
    static int upper(int index) {
        return lower(index + 1);
    }

    static int width(int index) {
        return upper(index) - lower(index);
    }
}

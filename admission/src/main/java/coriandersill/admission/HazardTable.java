package coriandersill.admission;

/**
 * Decayed counts, for each length bucket, of the generations that entered it and of those that ended in it.
 *
 * <p>It holds {@value #BYTES} bytes of counts.
 */
final class HazardTable {
    static final int BYTES = 2 * Float.BYTES * LengthBuckets.COUNT;

    private final float[] entered = new float[LengthBuckets.COUNT];
    private final float[] ended = new float[LengthBuckets.COUNT];

    void count(int bucket, boolean end, float decay) {
        entered[bucket] = entered[bucket] * decay + 1;
        ended[bucket] = ended[bucket] * decay + (end ? 1 : 0);
    }

    /** Returns the probability of ending in the bucket, with {@code prior} worth {@code strength} observations. */
    double hazard(int bucket, double prior, double strength) {
        return (ended[bucket] + strength * prior) / (entered[bucket] + strength);
    }
}

package coriandersill.admission;

/**
 * For each length bucket, decayed counts of the generations that reached it and of those that ended in it.
 *
 * <p>The counts take {@value #BYTES} bytes.
 */
final class HazardTable {
    static final int BYTES = 2 * Float.BYTES * LengthBuckets.COUNT;

    private final float[] entered = new float[LengthBuckets.COUNT];
    private final float[] ended = new float[LengthBuckets.COUNT];

    void count(int bucket, boolean end, float decay) {
        entered[bucket] = entered[bucket] * decay + 1;
        ended[bucket] = ended[bucket] * decay + (end ? 1 : 0);
    }

    /**
     * Returns the probability of ending in the bucket; {@code prior} weighs as much as {@code strength} observations.
     */
    double hazard(int bucket, double prior, double strength) {
        return (ended[bucket] + strength * prior) / (entered[bucket] + strength);
    }
}

package coriandersill.admission;

/** Survival after a known number of tokens, from the probability of ending in each bucket. */
final class BucketSurvival implements RemainingLength {
    private final int generated;
    private final int firstBucket;
    /** The probability of reaching the lower edge of bucket {@code firstBucket + i}; for 0, that of the present. */
    private final double[] reached;

    private BucketSurvival(int generated, int firstBucket, double[] reached) {
        this.generated = generated;
        this.firstBucket = firstBucket;
        this.reached = reached;
    }

    static BucketSurvival after(int generated, double[] hazards) {
        int first = LengthBuckets.index(generated);
        double[] reached = new double[LengthBuckets.COUNT - first + 1];
        reached[0] = 1;
        int left = Math.max(1, LengthBuckets.upper(first) - generated);
        double share = Math.min(1, (double) left / LengthBuckets.width(first));
        reached[1] = Math.pow(1 - hazards[first], share);
        for (int i = 2; i < reached.length; i++) {
            reached[i] = reached[i - 1] * (1 - hazards[first + i - 1]);
        }
        return new BucketSurvival(generated, first, reached);
    }

    @Override
    public double survival(int more) {
        int tokens = Math.min(generated + more, LengthBuckets.LIMIT_TOKENS);
        if (more <= 0 || tokens <= generated) {
            return 1;
        }
        int bucket = LengthBuckets.index(tokens);
        int i = bucket - firstBucket;
        int from = i == 0 ? generated : LengthBuckets.lower(bucket);
        int to = LengthBuckets.upper(bucket);
        double part = (double) (tokens - from) / Math.max(1, to - from);
        return reached[i] + (reached[i + 1] - reached[i]) * Math.min(1, part);
    }
}

package coriandersill.admission;

/** The survival function after a known number of tokens, computed from the hazard of each length bucket. */
final class BucketSurvival implements RemainingLength {
    private final int generated;
    private final int firstBucket;
    /** Probability of reaching the lower bound of bucket {@code firstBucket + i}; 1 for {@code i = 0}. */
    private final double[] reachProbability;

    private BucketSurvival(int generated, int firstBucket, double[] reachProbability) {
        this.generated = generated;
        this.firstBucket = firstBucket;
        this.reachProbability = reachProbability;
    }

    static BucketSurvival after(int generated, double[] hazards) {
        int firstBucket = LengthBuckets.index(generated);
        double[] reachProbability = new double[LengthBuckets.COUNT - firstBucket + 1];
        reachProbability[0] = 1;
        int remainingInBucket = Math.max(1, LengthBuckets.upper(firstBucket) - generated);
        double fraction = Math.min(1, (double) remainingInBucket / LengthBuckets.width(firstBucket));
        reachProbability[1] = Math.pow(1 - hazards[firstBucket], fraction);
        for (int i = 2; i < reachProbability.length; i++) {
            reachProbability[i] = reachProbability[i - 1] * (1 - hazards[firstBucket + i - 1]);
        }
        return new BucketSurvival(generated, firstBucket, reachProbability);
    }

    @Override
    public double survival(int furtherTokens) {
        int tokens = Math.min(generated + furtherTokens, LengthBuckets.LIMIT_TOKENS);
        if (furtherTokens <= 0 || tokens <= generated) {
            return 1;
        }
        int bucket = LengthBuckets.index(tokens);
        int i = bucket - firstBucket;
        int from = i == 0 ? generated : LengthBuckets.lower(bucket);
        int to = LengthBuckets.upper(bucket);
        double fraction = (double) (tokens - from) / Math.max(1, to - from);
        return reachProbability[i] + (reachProbability[i + 1] - reachProbability[i]) * Math.min(1, fraction);
    }
}

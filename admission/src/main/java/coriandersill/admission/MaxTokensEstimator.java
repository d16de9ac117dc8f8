package coriandersill.admission;

/** Predicts that every generation reaches its maximum length, which reserves memory for the worst case. */
public final class MaxTokensEstimator implements LengthEstimator {
    private MaxTokensEstimator() {}

    /** Creates the estimator. */
    public static MaxTokensEstimator create() {
        return new MaxTokensEstimator();
    }

    @Override
    public RemainingLength remaining(LengthKey key, int generated) {
        return furtherTokens -> 1;
    }

    @Override
    public void observe(LengthKey key, int from, int to, boolean ended) {
        // The prediction does not depend on observed lengths.
    }
}

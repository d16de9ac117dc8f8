package coriandersill.admission;

/**
 * Predicts the same fixed length for every generation, and one more token for a generation that has reached it; a
 * baseline in comparisons of estimators.
 */
public final class FixedLengthEstimator implements LengthEstimator {
    private final int tokens;

    private FixedLengthEstimator(int tokens) {
        this.tokens = tokens;
    }

    /** Creates an estimator that predicts {@code tokens} tokens, at least 1. */
    public static FixedLengthEstimator of(int tokens) {
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens: expected 1 or more, found " + tokens);
        }
        return new FixedLengthEstimator(tokens);
    }

    @Override
    public RemainingLength remaining(LengthKey key, int generated) {
        int remaining = Math.max(1, tokens - generated);
        return furtherTokens -> furtherTokens < remaining ? 1 : 0;
    }

    @Override
    public void observe(LengthKey key, int from, int to, boolean ended) {
        // The prediction is fixed.
    }
}

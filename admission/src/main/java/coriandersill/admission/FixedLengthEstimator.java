package coriandersill.admission;

/** Expects every generation to reach one fixed length, whatever was seen; a baseline of the comparisons. */
public final class FixedLengthEstimator implements LengthEstimator {
    private final int tokens;

    private FixedLengthEstimator(int tokens) {
        this.tokens = tokens;
    }

    /** Returns an estimator that expects {@code tokens} tokens, 1 or more. */
    public static FixedLengthEstimator of(int tokens) {
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens: expected 1 or more, found " + tokens);
        }
        return new FixedLengthEstimator(tokens);
    }

    @Override
    public RemainingLength remaining(LengthKey key, int generated) {
        int left = Math.max(1, tokens - generated);
        return more -> more < left ? 1 : 0;
    }

    @Override
    public void observe(LengthKey key, int from, int to, boolean ended) {
        // The expected length is fixed.
    }
}

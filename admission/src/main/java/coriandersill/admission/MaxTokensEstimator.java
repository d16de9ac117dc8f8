package coriandersill.admission;

/** Expects every generation to reach the maximum that its caller allowed: reservation by the worst case. */
public final class MaxTokensEstimator implements LengthEstimator {
    private MaxTokensEstimator() {}

    /** Returns the estimator. */
    public static MaxTokensEstimator create() {
        return new MaxTokensEstimator();
    }

    @Override
    public RemainingLength remaining(LengthKey key, int generated) {
        return more -> 1;
    }

    @Override
    public void observe(LengthKey key, int from, int to, boolean ended) {
        // The maximum does not depend on what was seen.
    }
}

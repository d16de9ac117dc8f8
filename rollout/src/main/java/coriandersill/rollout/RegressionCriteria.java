package coriandersill.rollout;

/**
 * The thresholds at which a new version counts as bad, each a ratio of its metric to that of the old version.
 *
 * @param errorRatio ratio of the error rates, above 1
 * @param firstTokenRatio ratio of the times to first token, above 1
 * @param betweenTokensRatio ratio of the mean times between tokens, above 1
 */
public record RegressionCriteria(double errorRatio, double firstTokenRatio, double betweenTokensRatio) {

    /** Throws {@link IllegalArgumentException} if a ratio is not above 1. */
    public RegressionCriteria {
        requireAboveOne("errorRatio", errorRatio);
        requireAboveOne("firstTokenRatio", firstTokenRatio);
        requireAboveOne("betweenTokensRatio", betweenTokensRatio);
    }

    /** Returns the threshold ratio of a signal. */
    public double ratio(Signal signal) {
        return switch (signal) {
            case ERRORS -> errorRatio;
            case FIRST_TOKEN -> firstTokenRatio;
            case BETWEEN_TOKENS -> betweenTokensRatio;
        };
    }

    private static void requireAboveOne(String name, double ratio) {
        if (!(ratio > 1)) {
            throw new IllegalArgumentException(name + ": expected above 1, found " + ratio);
        }
    }
}

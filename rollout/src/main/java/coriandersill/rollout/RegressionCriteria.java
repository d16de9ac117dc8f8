package coriandersill.rollout;

/**
 * From what on a version is bad, each as a ratio of the new version's figure to the old one's.
 *
 * @param errorRatio ratio of error rates, above 1
 * @param firstTokenRatio ratio of times to the first token, above 1
 * @param betweenTokensRatio ratio of times between tokens, above 1
 */
public record RegressionCriteria(double errorRatio, double firstTokenRatio, double betweenTokensRatio) {

    /** Refuses ratios that are not above 1. */
    public RegressionCriteria {
        check("errorRatio", errorRatio);
        check("firstTokenRatio", firstTokenRatio);
        check("betweenTokensRatio", betweenTokensRatio);
    }

    /** Returns the ratio for a signal. */
    public double ratio(Signal signal) {
        return switch (signal) {
            case ERRORS -> errorRatio;
            case FIRST_TOKEN -> firstTokenRatio;
            case BETWEEN_TOKENS -> betweenTokensRatio;
        };
    }

    private static void check(String name, double ratio) {
        if (!(ratio > 1)) {
            throw new IllegalArgumentException(name + ": expected above 1, found " + ratio);
        }
    }
}

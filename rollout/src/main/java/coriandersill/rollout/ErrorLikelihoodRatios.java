package coriandersill.rollout;

/**
 * Log-likelihood ratios for failures: new against old in one stratum.
 *
 * <p>Given the calls of both versions, each failure is the new version's with probability {@code q = t n1 / (n0 + t
 * n1)} when it fails {@code t} times as often. The ratio of that likelihood under {@code t = alternative} to the one
 * under {@code t = tolerance} has a mean of at most 1 for every failure rate of the old version and every new one up to
 * {@code tolerance} times it, because {@code (1 + x) <= e^x}; so the rate itself need not be known, and a cause that
 * both versions share cancels.
 */
final class ErrorLikelihoodRatios {
    private static final double[] STEPS = {1.5, 2.7, 8};

    private final double tolerance;

    ErrorLikelihoodRatios(double tolerance) {
        this.tolerance = tolerance;
    }

    static int alternatives() {
        return STEPS.length;
    }

    /** Adds the ratios of one stratum to {@code logRatios}. */
    void addTo(double[] logRatios, EvidenceCell from, EvidenceCell to) {
        if (from.calls() == 0 || to.calls() == 0) {
            return;
        }
        double base = oddsShare(tolerance, from, to);
        for (int i = 0; i < STEPS.length; i++) {
            double other = oddsShare(tolerance * STEPS[i], from, to);
            logRatios[i] += to.failures() * Math.log(other / base);
            logRatios[i] += from.failures() * Math.log((1 - other) / (1 - base));
        }
    }

    private static double oddsShare(double ratio, EvidenceCell from, EvidenceCell to) {
        return ratio * to.calls() / (from.calls() + ratio * to.calls());
    }
}

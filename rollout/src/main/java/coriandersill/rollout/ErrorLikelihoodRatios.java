package coriandersill.rollout;

/**
 * Log-likelihood ratios of the failures of the new version against the old one within a stratum.
 *
 * <p>Let {@code n0} and {@code n1} be the calls of the old and the new version. If the new version fails {@code t}
 * times as often, a given failure belongs to it with probability {@code q = t n1 / (n0 + t n1)}. The ratio of the
 * likelihood under {@code t = alternative} to that under {@code t = tolerance} has a mean of at most 1 for every
 * failure rate of the old version, as long as that of the new version is at most {@code tolerance} times as high,
 * because {@code (1 + x) <= e^x}. The failure rate itself need not be known, and a cause that affects both versions
 * cancels out.
 */
final class ErrorLikelihoodRatios {
    private static final double[] ALTERNATIVE_FACTORS = {1.5, 2.7, 8};

    private final double tolerance;

    ErrorLikelihoodRatios(double tolerance) {
        this.tolerance = tolerance;
    }

    static int alternativeCount() {
        return ALTERNATIVE_FACTORS.length;
    }

    /** Adds the log-likelihood ratio of each alternative in one stratum to {@code logRatios}. */
    void addTo(double[] logRatios, EvidenceCell oldCell, EvidenceCell newCell) {
        if (oldCell.calls() == 0 || newCell.calls() == 0) {
            return;
        }
        double toleratedProbability = newFailureProbability(tolerance, oldCell, newCell);
        for (int i = 0; i < ALTERNATIVE_FACTORS.length; i++) {
            double alternativeProbability = newFailureProbability(tolerance * ALTERNATIVE_FACTORS[i], oldCell, newCell);
            logRatios[i] += newCell.failures() * Math.log(alternativeProbability / toleratedProbability);
            logRatios[i] += oldCell.failures() * Math.log((1 - alternativeProbability) / (1 - toleratedProbability));
        }
    }

    private static double newFailureProbability(double ratio, EvidenceCell oldCell, EvidenceCell newCell) {
        return ratio * newCell.calls() / (oldCell.calls() + ratio * newCell.calls());
    }
}

package coriandersill.rollout;

import java.util.Arrays;

/**
 * A sequential test that keeps its false alarm rate when it is evaluated after every window.
 *
 * <p>For each alternative (a degree of regression) it keeps the likelihood ratio of "bad since window j" to "not bad",
 * summed over j with prior weights that add up to at most 1, so that a good start does not mask a version that becomes
 * bad late. Under "not bad" the mean over the alternatives is a non-negative supermartingale with mean at most 1, so
 * the probability that it ever reaches 1/a is at most a (Ville's inequality).
 */
final class SequentialTest {
    private final double[] likelihoodRatioSums;
    private final double maxLogRatioPerWindow;
    private boolean started;

    /**
     * Creates a test of the given number of alternatives.
     *
     * @param alternativeCount the number of alternatives
     * @param maxLogRatioPerWindow the maximum that one window may add, in nats, so that a single burst of failures,
     *     such as the loss of one engine, raises no alarm
     */
    SequentialTest(int alternativeCount, double maxLogRatioPerWindow) {
        this.likelihoodRatioSums = new double[alternativeCount];
        this.maxLogRatioPerWindow = maxLogRatioPerWindow;
    }

    /**
     * Adds the log-likelihood ratios of one window, by alternative; the weight is the prior of "bad since this window".
     */
    void update(double[] logRatios, double startWeight) {
        started = started || startWeight > 0;
        for (int i = 0; i < likelihoodRatioSums.length; i++) {
            likelihoodRatioSums[i] =
                    (likelihoodRatioSums[i] + startWeight) * Math.exp(Math.min(maxLogRatioPerWindow, logRatios[i]));
        }
    }

    /** Returns the logarithm of the evidence for "bad", in nats; 0 before the first window. */
    double logEvidence() {
        return started ? Math.log(Arrays.stream(likelihoodRatioSums).sum() / likelihoodRatioSums.length) : 0;
    }
}

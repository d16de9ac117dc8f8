package coriandersill.rollout;

import java.util.Arrays;

/**
 * A test that may be looked at after every window without losing its false alarm rate.
 *
 * <p>For each alternative (a degree of badness) it keeps the likelihood ratio of "bad since window j" to "not bad",
 * summed over j with weights that add up to at most 1, so that a version that turns bad late is not shielded by its
 * good start. Under "not bad" the mean over the alternatives is a non-negative supermartingale of mean at most 1, so
 * the probability that it ever reaches 1/a is at most a (Ville's inequality).
 */
final class SequentialTest {
    private final double[] sums;
    private final double maxLogRatioPerWindow;
    private boolean started;

    /**
     * Returns a test over some alternatives.
     *
     * @param alternatives how many alternatives there are
     * @param maxLogRatioPerWindow the most that one window may add, in nats, so that one burst of failures, such as the
     *     loss of one engine, raises no alarm by itself
     */
    SequentialTest(int alternatives, double maxLogRatioPerWindow) {
        this.sums = new double[alternatives];
        this.maxLogRatioPerWindow = maxLogRatioPerWindow;
    }

    /** Takes the log-likelihood ratios of one window, by alternative, and the weight of "bad since this window". */
    void update(double[] logRatios, double startWeight) {
        started = started || startWeight > 0;
        for (int i = 0; i < sums.length; i++) {
            sums[i] = (sums[i] + startWeight) * Math.exp(Math.min(maxLogRatioPerWindow, logRatios[i]));
        }
    }

    /** Returns the logarithm of the evidence for "bad", in nats; 0 before the first window. */
    double logEvidence() {
        return started ? Math.log(Arrays.stream(sums).sum() / sums.length) : 0;
    }
}

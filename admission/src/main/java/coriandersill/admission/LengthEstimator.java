package coriandersill.admission;

/**
 * Estimates how many more tokens a generation will produce, given the number produced so far.
 *
 * <p>Implementations need not be thread-safe: the caller's lock guards them, in {@link PredictiveAdmission} the one of
 * rank {@code ADMISSION}.
 */
public interface LengthEstimator {

    /** Returns the distribution of the number of further tokens after {@code generated} tokens. */
    RemainingLength remaining(LengthKey key, int generated);

    /**
     * Records that a generation grew from {@code from} to {@code to} tokens.
     *
     * <p>Successive invocations for one generation are contiguous: each {@code from} equals the previous {@code to}.
     * For a generation that was cut short, by cancellation or by its maximum length, {@code ended} is always false,
     * because its natural length is unknown.
     *
     * @param ended whether the generation ended by itself at {@code to} tokens
     */
    void observe(LengthKey key, int from, int to, boolean ended);
}

package coriandersill.admission;

/**
 * Estimates how many more tokens a generation will produce, given those it has produced already.
 *
 * <p>Implementations are not safe for use by many threads: the holder's lock guards them, in
 * {@link PredictiveAdmission} that of rank {@code ADMISSION}.
 */
public interface LengthEstimator {

    /** Returns the distribution of the tokens still to come after {@code generated} ones. */
    RemainingLength remaining(LengthKey key, int generated);

    /**
     * Learns that a generation went on from {@code from} tokens to {@code to}.
     *
     * <p>The calls for one generation join: the next {@code from} is the last {@code to}. A generation that was cut
     * short, by a cancellation or by its own maximum, never passes {@code ended}: its length stays unknown.
     *
     * @param ended whether the generation ended by itself at {@code to}
     */
    void observe(LengthKey key, int from, int to, boolean ended);
}

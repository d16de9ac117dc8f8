package coriandersill.admission;

/** The distribution of the number of tokens that a generation has yet to produce. */
public interface RemainingLength {

    /** Returns the probability that the generation produces more than {@code furtherTokens} tokens from now on. */
    double survival(int furtherTokens);

    /**
     * Returns the smallest number of further tokens that the generation, with at least the given probability, does not
     * exceed.
     */
    default int quantile(double probability) {
        int low = 0;
        int high = LengthBuckets.LIMIT_TOKENS;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (survival(middle) <= 1 - probability) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }
}

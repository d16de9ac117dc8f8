package coriandersill.admission;

/**
 * The cost of a request in tokens: the tokens processed, plus a charge for the memory held while they were generated.
 *
 * <p>A request that on average holds {@code 1 / maxConcurrency} of the memory is charged as much for memory as for its
 * generated tokens.
 */
final class ServiceCost {
    /** The cost of a prompt token relative to a generated one. */
    private static final double PROMPT_TOKEN_COST = 0.1;

    private final long memoryTokens;
    private final int maxConcurrency;

    ServiceCost(long memoryTokens, int maxConcurrency) {
        this.memoryTokens = memoryTokens;
        this.maxConcurrency = maxConcurrency;
    }

    double of(int promptTokens, int generated) {
        double processed = 1 + PROMPT_TOKEN_COST * promptTokens + generated;
        if (memoryTokens == 0) {
            return processed;
        }
        // The memory held when each token was generated, summed over the generated tokens.
        double heldOverTime = generated * (promptTokens + generated / 2.0);
        return processed + maxConcurrency * heldOverTime / memoryTokens;
    }
}

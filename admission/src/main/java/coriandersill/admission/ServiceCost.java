package coriandersill.admission;

/**
 * The cost of a request in tokens: those served, and the memory held for as long as they took.
 *
 * <p>A request that holds an even part of the memory pays as much for memory as for its tokens.
 */
final class ServiceCost {
    private static final double PROMPT_SHARE = 0.1;

    private final long memoryTokens;
    private final int maxConcurrency;

    ServiceCost(long memoryTokens, int maxConcurrency) {
        this.memoryTokens = memoryTokens;
        this.maxConcurrency = maxConcurrency;
    }

    double of(int promptTokens, int generated) {
        double served = 1 + PROMPT_SHARE * promptTokens + generated;
        if (memoryTokens == 0) {
            return served;
        }
        double heldOverTime = generated * (promptTokens + generated / 2.0);
        return served + maxConcurrency * heldOverTime / memoryTokens;
    }
}

package coriandersill.configuration;

/**
 * What one upstream of a version bears.
 *
 * @param coldConcurrency running requests that a cold upstream bears, 1 or more
 * @param maxConcurrency running requests that a warm upstream bears, at least {@code coldConcurrency}
 * @param memoryTokens tokens that the engine's memory holds over all running requests; 0 for a plain service
 */
public record VersionCapacity(int coldConcurrency, int maxConcurrency, long memoryTokens) {

    /** Checks the ranges; throws {@link IllegalArgumentException}. */
    public VersionCapacity {
        if (coldConcurrency < 1 || maxConcurrency < coldConcurrency || memoryTokens < 0) {
            throw new IllegalArgumentException(
                    "version capacity: expected 1 <= coldConcurrency <= maxConcurrency and memoryTokens >= 0, found "
                            + coldConcurrency + ", " + maxConcurrency + " and " + memoryTokens);
        }
    }
}

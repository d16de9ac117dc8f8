package coriandersill.configuration;

/**
 * The capacity of one upstream of a version.
 *
 * @param coldConcurrency the maximum number of concurrent requests on a cold upstream, 1 or more
 * @param maxConcurrency the maximum number of concurrent requests on a warm upstream, at least {@code coldConcurrency}
 * @param memoryTokens the number of tokens that fit in the engine's memory over all running requests; 0 for a service
 *     of kind {@link ServiceKind#PLAIN}
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

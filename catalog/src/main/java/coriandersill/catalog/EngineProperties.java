package coriandersill.catalog;

import java.time.Duration;

/**
 * The properties of the engines of a generation service.
 *
 * @param memoryTokens the KV cache capacity of one engine, in tokens of running and cached generations
 * @param supportsMoves whether running generations can be moved between engines
 * @param bytesPerToken the KV cache size of a token in bytes; 0 if unknown
 * @param linkMegabitsPerSecond the bandwidth at which an engine sends or receives copies; 0 if unknown
 * @param tokensPerEvent the number of tokens in one event of a stream; at least 1
 */
public record EngineProperties(
        int memoryTokens, boolean supportsMoves, long bytesPerToken, double linkMegabitsPerSecond, int tokensPerEvent) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1_000_000;

    /**
     * Returns how long a copy of {@code tokens} occupies an engine's link; zero if the bandwidth or the size of a token
     * is unknown.
     */
    public Duration copyTime(long tokens) {
        if (linkMegabitsPerSecond <= 0) {
            return Duration.ZERO;
        }
        double seconds = tokens * bytesPerToken * BITS_PER_BYTE / (linkMegabitsPerSecond * BITS_PER_MEGABIT);
        return Duration.ofNanos((long) (seconds * Duration.ofSeconds(1).toNanos()));
    }
}

package coriandersill.catalog;

import java.time.Duration;

/**
 * The engines of a service of generations.
 *
 * @param memoryTokens tokens of running and cached generations that one engine holds
 * @param supportsMoves whether engines hand running generations to each other
 * @param bytesPerToken the memory of a token in bytes; 0 where unknown
 * @param linkMegabitsPerSecond the speed at which an engine sends or takes copies; 0 where unknown
 */
public record EngineRule(int memoryTokens, boolean supportsMoves, long bytesPerToken, double linkMegabitsPerSecond) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1_000_000;

    /** Returns how long an engine's link is busy with a copy of {@code tokens}; zero where its speed is unknown. */
    public Duration copyTime(long tokens) {
        if (linkMegabitsPerSecond <= 0) {
            return Duration.ZERO;
        }
        double seconds = tokens * bytesPerToken * BITS_PER_BYTE / (linkMegabitsPerSecond * BITS_PER_MEGABIT);
        return Duration.ofNanos((long) (seconds * Duration.ofSeconds(1).toNanos()));
    }
}

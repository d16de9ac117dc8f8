package coriandersill.experiment;

/**
 * The memory size and speed of a modelled engine.
 *
 * <p>One iteration takes {@code baseNanos + perSequenceNanos * decoding + perPrefillTokenNanos * prefilled}, times
 * {@code coldSlowdownFactor} while the engine is cold.
 *
 * @param blockTokens tokens in one block of memory
 * @param blocks memory blocks for running sequences
 * @param cacheBlocks memory blocks for cached prompt prefixes
 * @param maxBatchSequences the maximum number of sequences in one iteration
 * @param maxPrefillChunkTokens the maximum number of prompt tokens in one iteration
 * @param baseNanos the fixed time of an iteration
 * @param perSequenceNanos the additional time for each decoding sequence
 * @param perPrefillTokenNanos the additional time for each prompt token
 * @param coldSlowdownFactor the slowdown factor of a cold engine
 * @param coldConcurrency the maximum number of requests that a cold engine can hold without crashing
 * @param warmUpNanos the busy time after which a cold engine is warm
 * @param restartNanos the time that an engine is down after a crash
 */
public record EngineSpec(
        int blockTokens,
        int blocks,
        int cacheBlocks,
        int maxBatchSequences,
        int maxPrefillChunkTokens,
        long baseNanos,
        long perSequenceNanos,
        long perPrefillTokenNanos,
        double coldSlowdownFactor,
        int coldConcurrency,
        long warmUpNanos,
        long restartNanos) {

    /**
     * Returns the engine of both deployments: 25,600 tokens of memory and a peak throughput of about 800 tokens per
     * second, in iterations of 40 ms. While cold, it is 10 times slower and holds at most 4 requests; it is warm after
     * 8 s of busy time. A restart takes 5 s.
     */
    public static EngineSpec standard() {
        return new EngineSpec(
                16, 1_600, 400, 256, 1_024, 20_000_000L, 450_000L, 60_000L, 10, 4, 8_000_000_000L, 5_000_000_000L);
    }

    /** Returns the memory for running sequences, in tokens. */
    public long memoryTokens() {
        return (long) blocks * blockTokens;
    }

    /** Returns the number of blocks that {@code tokens} tokens occupy. */
    public int blocksFor(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}

package coriandersill.experiment;

/**
 * The size and speed of one modelled engine.
 *
 * <p>One iteration takes {@code baseNanos + perSequenceNanos * decoding + perPrefillTokenNanos * prefilled}, times
 * {@code coldFactor} while the engine is cold.
 *
 * @param blockTokens tokens in one block of memory
 * @param blocks blocks for running sequences
 * @param cacheBlocks blocks for cached prompt prefixes
 * @param maxBatch the most sequences in one iteration
 * @param prefillChunk the most prompt tokens in one iteration
 * @param baseNanos the fixed part of an iteration
 * @param perSequenceNanos the part for each decoding sequence
 * @param perPrefillTokenNanos the part for each prompt token
 * @param coldFactor how much slower a cold engine is
 * @param coldLimit requests that a cold engine bears
 * @param warmUpNanos busy time after which an engine is warm
 * @param restartNanos time that an engine is down after it fell over
 */
public record EngineSpec(
        int blockTokens,
        int blocks,
        int cacheBlocks,
        int maxBatch,
        int prefillChunk,
        long baseNanos,
        long perSequenceNanos,
        long perPrefillTokenNanos,
        double coldFactor,
        int coldLimit,
        long warmUpNanos,
        long restartNanos) {

    /**
     * Returns the engine of both deployments: 25,600 tokens of memory, and some 800 tokens a second in iterations of 40
     * ms at its best.
     */
    public static EngineSpec standard() {
        return new EngineSpec(
                16, 1_600, 400, 256, 1_024, 20_000_000L, 450_000L, 60_000L, 10, 4, 8_000_000_000L, 5_000_000_000L);
    }

    /** The memory for running sequences, in tokens. */
    public long memoryTokens() {
        return (long) blocks * blockTokens;
    }

    /** The blocks that {@code tokens} take. */
    public int blocksFor(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}

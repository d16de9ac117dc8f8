package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.List;
import java.util.Map;

/**
 * What is known at one moment of the engines that were given the beginning of a prompt.
 *
 * @param engines the engines that are known to have held its first part; all others are alike
 */
public record PromptSavings(Map<InstanceId, Engine> engines) {
    /** For a prompt of which no engine is known to hold a part. */
    public static final PromptSavings NONE = new PromptSavings(Map.of());

    /**
     * An engine that held the beginning of the prompt.
     *
     * @param uses the latest uses of its parts, in order, up to the first part that was not there
     * @param otherEntriesTokens the memory of other entries' generations by the engine's last report, in tokens
     */
    public record Engine(List<PartUse> uses, long otherEntriesTokens) {
        /** Copies the list. */
        public Engine {
            uses = List.copyOf(uses);
        }
    }

    /**
     * The latest use of a part.
     *
     * @param tokens the length of the part
     * @param givenTokens the memory that the engine is estimated to have given to other generations since, in tokens
     */
    public record PartUse(long tokens, double givenTokens) {}

    /** Copies the map. */
    public PromptSavings {
        engines = Map.copyOf(engines);
    }

    /**
     * Returns the number of prompt tokens that the engine is expected not to read.
     *
     * <p>Engines evict the least recently used parts, so a part is held while the memory given since fits into what
     * running generations leave free. Neither is known exactly: the probability falls from 1 to 0 as the one approaches
     * the other. A part counts only as far as all parts before it.
     */
    double expectedTokens(Candidate candidate) {
        Engine engine = engines.get(candidate.instance());
        if (engine == null) {
            return 0;
        }
        long otherEntries = Math.max(candidate.otherEntriesReservedTokens(), engine.otherEntriesTokens());
        double freeTokens = (double) candidate.memoryTokens() - candidate.reservedTokens() - otherEntries;
        if (candidate.memoryTokens() <= 0 || freeTokens <= 0) {
            return 0;
        }
        double expected = 0;
        double probability = 1;
        for (PartUse use : engine.uses()) {
            probability = Math.min(probability, Math.max(0, 1 - use.givenTokens() / freeTokens));
            expected += probability * use.tokens();
        }
        return expected;
    }
}

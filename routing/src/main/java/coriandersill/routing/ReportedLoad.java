package coriandersill.routing;

import java.util.List;
import java.util.Set;

/**
 * What an engine reports of the generations of all entries, from which an entry derives the load of the others.
 *
 * <p>A report is some hundred milliseconds old. Generations that wait for memory are only counted in it, and copies
 * that arrive from other engines only show in the memory that is in use.
 *
 * @param generations the generations that run
 * @param queued the number of generations that wait
 * @param usedTokens the memory in use that cannot be freed, in tokens; 0 if unknown
 */
public record ReportedLoad(List<Generation> generations, int queued, long usedTokens) {
    /**
     * A generation that runs.
     *
     * @param id the identifier of its call
     * @param tokens the size of its KV cache in tokens
     */
    public record Generation(String id, long tokens) {}

    /** Makes a defensive copy of {@code generations}. */
    public ReportedLoad {
        generations = List.copyOf(generations);
    }

    /**
     * Returns the load of the other entries.
     *
     * @param own the identifiers of this entry's generations at the engine; those that do not run yet are assumed to be
     *     among those that wait
     */
    public OtherEntriesLoad withoutOwn(Set<String> own) {
        long othersTokens = 0;
        long ownTokens = 0;
        int ownRunning = 0;
        for (Generation generation : generations) {
            if (own.contains(generation.id())) {
                ownTokens += generation.tokens();
                ownRunning++;
            } else {
                othersTokens += generation.tokens();
            }
        }
        int ownWaiting = own.size() - ownRunning;
        int othersWaiting = Math.max(0, queued - ownWaiting);
        long meanTokens = generations.isEmpty() ? 0 : (othersTokens + ownTokens) / generations.size();
        long waitingTokens = othersWaiting * meanTokens;
        long othersUsed = Math.max(othersTokens, usedTokens - ownTokens - ownWaiting * meanTokens);
        return new OtherEntriesLoad(
                generations.size() - ownRunning + othersWaiting, othersUsed + waitingTokens, waitingTokens);
    }
}

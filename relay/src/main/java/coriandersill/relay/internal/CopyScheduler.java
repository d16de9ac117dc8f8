package coriandersill.relay.internal;

import coriandersill.catalog.EngineProperties;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Schedules the copies of the generations on an engine that is leaving.
 *
 * <p>An engine's link carries one copy at a time. If all copies were requested at once, the final part of each, during
 * which its generation is stopped, would wait for the full copies of all others. All entries derive the same order from
 * the engine's report, so that each entry knows when the link is free for its own generations without coordination.
 * More urgent generations go first, by the priority that the engine was told. Among equals, small ones go first, so
 * that as many as possible move before the engine shuts down. Generations missing from the report go last.
 */
final class CopyScheduler {
    /** The time a move takes in addition to its full copy: the incremental copies and the round trips. */
    private static final Duration MOVE_OVERHEAD = Duration.ofMillis(40);

    /** A copy to another zone occupies the link this many times as long as one within the zone. */
    private static final int OTHER_ZONE_COPY_TIME_FACTOR = 2;

    /** The number of tokens that a generation is expected to add before it ends. */
    private static final int EXPECTED_GROWTH_TOKENS = 400;

    private CopyScheduler() {}

    /**
     * A generation on the engine.
     *
     * @param id the identifier of the generation's call
     * @param tokens the size of its KV cache in tokens
     * @param priority the priority that the engine was told, from 0, which is served first, to 9
     */
    record Generation(String id, long tokens, int priority) {}

    /**
     * The scheduled move of one generation.
     *
     * @param start when the move starts, relative to the time of scheduling
     * @param otherZone whether the generation is expected to move to another availability zone
     * @param otherEntriesTokensBefore the memory of other entries' generations that move earlier, in tokens
     */
    record ScheduledMove(Duration start, boolean otherZone, long otherEntriesTokensBefore) {}

    /**
     * The scheduled moves of this entry's generations.
     *
     * @param moves the scheduled moves by generation id
     * @param total when the last move of any entry is complete
     */
    record Schedule(Map<String, ScheduledMove> moves, Duration total) {}

    /**
     * Returns the schedule of this entry's generations.
     *
     * @param reported the generations of all entries on the engine, according to its report
     * @param own this entry's generations to be moved; their sizes are used only for those missing from the report
     * @param engine the engine's memory and link speed
     * @param zoneFreeTokens the free memory of the engines in the same availability zone, in tokens; generations beyond
     *     it move to other zones
     */
    static Schedule schedule(
            List<Generation> reported, List<Generation> own, EngineProperties engine, long zoneFreeTokens) {
        Map<String, ScheduledMove> moves = new LinkedHashMap<>();
        Set<String> ownIds = Set.copyOf(own.stream().map(Generation::id).toList());
        Duration start = Duration.ZERO;
        long cumulativeTokens = 0;
        long otherEntriesTokensBefore = 0;
        for (Generation generation : inCopyOrder(reported, own)) {
            cumulativeTokens += generation.tokens() + EXPECTED_GROWTH_TOKENS;
            boolean otherZone = cumulativeTokens > zoneFreeTokens;
            if (ownIds.contains(generation.id())) {
                moves.put(generation.id(), new ScheduledMove(start, otherZone, otherEntriesTokensBefore));
            } else {
                otherEntriesTokensBefore += generation.tokens() + EXPECTED_GROWTH_TOKENS;
            }
            Duration copy =
                    engine.copyTime(generation.tokens()).multipliedBy(otherZone ? OTHER_ZONE_COPY_TIME_FACTOR : 1);
            start = start.plus(copy).plus(MOVE_OVERHEAD);
        }
        return new Schedule(moves, start);
    }

    private static List<Generation> inCopyOrder(List<Generation> reported, List<Generation> own) {
        Comparator<Generation> urgentAndSmallFirst = Comparator.comparingInt(Generation::priority)
                .thenComparingLong(Generation::tokens)
                .thenComparing(Generation::id);
        Set<String> reportedIds =
                Set.copyOf(reported.stream().map(Generation::id).toList());
        List<Generation> all =
                new ArrayList<>(reported.stream().sorted(urgentAndSmallFirst).toList());
        own.stream()
                .filter(generation -> !reportedIds.contains(generation.id()))
                .sorted(urgentAndSmallFirst)
                .forEach(all::add);
        return all;
    }
}

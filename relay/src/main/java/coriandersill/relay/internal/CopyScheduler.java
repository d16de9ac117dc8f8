package coriandersill.relay.internal;

import coriandersill.catalog.EngineRule;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The order in which the generations at an engine that leaves are copied.
 *
 * <p>An engine's link carries one copy at a time. If all were asked for at once, the last part of each, for which its
 * run has stopped, would wait for the whole copies of all others. All entries derive the same order from the engine's
 * report, so that each knows when the link is free for its own generations: small ones first, since most are saved so.
 * Generations that the report does not have yet come last.
 */
final class CopyScheduler {
    /** What a move takes beside its whole copy: the parts made meanwhile, and the answers on their way. */
    private static final Duration REST_OF_A_MOVE = Duration.ofMillis(40);

    /** A copy between zones takes the link for so many times as long as one within. */
    private static final int OTHER_ZONE_FACTOR = 2;

    /** What a generation is expected to add to its memory until it ends. */
    private static final int GROWTH_TOKENS = 400;

    private CopyScheduler() {}

    /**
     * A generation at the engine.
     *
     * @param id the attempt that started it
     * @param tokens its memory in tokens
     */
    record Generation(String id, long tokens) {}

    /**
     * The turn of one generation.
     *
     * @param start when its move begins, counted from the notice
     * @param otherZone whether it is expected to go to another availability zone
     * @param othersBefore the memory of other entries' generations whose turn is earlier, in tokens
     */
    record ScheduledMove(Duration start, boolean otherZone, long othersBefore) {}

    /**
     * The turns of an entry's generations.
     *
     * @param turns each generation's turn, by its id
     * @param total when the last move of any entry is over
     */
    record Schedule(Map<String, ScheduledMove> turns, Duration total) {}

    /**
     * Returns the turns of this entry's generations.
     *
     * @param reported the generations of all entries at the engine, by its report
     * @param own the entry's generations that it has to move
     * @param engine the engine's link
     * @param roomNear how many tokens the engines of the same availability zone can take; the rest goes to other zones
     */
    static Schedule plan(List<Generation> reported, List<Generation> own, EngineRule engine, long roomNear) {
        Map<String, ScheduledMove> turns = new LinkedHashMap<>();
        Set<String> ownIds = Set.copyOf(own.stream().map(Generation::id).toList());
        Duration start = Duration.ZERO;
        long before = 0;
        long othersBefore = 0;
        for (Generation generation : inOrder(reported, own)) {
            before += generation.tokens() + GROWTH_TOKENS;
            boolean otherZone = before > roomNear;
            if (ownIds.contains(generation.id())) {
                turns.put(generation.id(), new ScheduledMove(start, otherZone, othersBefore));
            } else {
                othersBefore += generation.tokens() + GROWTH_TOKENS;
            }
            Duration copy = engine.copyTime(generation.tokens()).multipliedBy(otherZone ? OTHER_ZONE_FACTOR : 1);
            start = start.plus(copy).plus(REST_OF_A_MOVE);
        }
        return new Schedule(turns, start);
    }

    private static List<Generation> inOrder(List<Generation> reported, List<Generation> own) {
        Comparator<Generation> smallFirst =
                Comparator.comparingLong(Generation::tokens).thenComparing(Generation::id);
        Set<String> known = Set.copyOf(reported.stream().map(Generation::id).toList());
        List<Generation> all =
                new ArrayList<>(reported.stream().sorted(smallFirst).toList());
        own.stream()
                .filter(generation -> !known.contains(generation.id()))
                .sorted(smallFirst)
                .forEach(all::add);
        return all;
    }
}

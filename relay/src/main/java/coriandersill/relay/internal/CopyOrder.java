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
final class CopyOrder {
    /** What a move takes beside its whole copy: the parts made meanwhile, and the answers on their way. */
    private static final Duration REST_OF_A_MOVE = Duration.ofMillis(40);

    /** A copy between zones takes the link for so many times as long as one within. */
    private static final int OTHER_ZONE_FACTOR = 2;

    private CopyOrder() {}

    /**
     * A generation at the engine.
     *
     * @param id the attempt that started it
     * @param tokens its memory in tokens
     */
    record Generation(String id, long tokens) {}

    /**
     * When the moves begin, counted from the notice.
     *
     * @param starts the beginning of the move of each of this entry's generations, by its id
     * @param total when the last move of any entry is over
     */
    record Plan(Map<String, Duration> starts, Duration total) {}

    /**
     * Returns when the moves of this entry's generations begin.
     *
     * @param reported the generations of all entries at the engine, by its report
     * @param own the entry's generations that it has to move
     * @param engine the engine's link
     * @param otherZone whether the copies go to another availability zone
     */
    static Plan plan(List<Generation> reported, List<Generation> own, EngineRule engine, boolean otherZone) {
        Set<String> known = Set.copyOf(reported.stream().map(Generation::id).toList());
        Comparator<Generation> smallFirst =
                Comparator.comparingLong(Generation::tokens).thenComparing(Generation::id);
        List<Generation> all =
                new ArrayList<>(reported.stream().sorted(smallFirst).toList());
        own.stream()
                .filter(generation -> !known.contains(generation.id()))
                .sorted(smallFirst)
                .forEach(all::add);
        Set<String> ownIds = Set.copyOf(own.stream().map(Generation::id).toList());
        Map<String, Duration> starts = new LinkedHashMap<>();
        Duration start = Duration.ZERO;
        for (Generation generation : all) {
            if (ownIds.contains(generation.id())) {
                starts.put(generation.id(), start);
            }
            Duration copy = engine.copyTime(generation.tokens()).multipliedBy(otherZone ? OTHER_ZONE_FACTOR : 1);
            start = start.plus(copy).plus(REST_OF_A_MOVE);
        }
        return new Plan(starts, start);
    }
}

package coriandersill.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The state that an engine reports of itself; it is some hundred milliseconds old.
 *
 * @param startedAtMillis when the engine started, in Unix milliseconds by its own clock; 0 if unspecified
 * @param leaving whether the engine accepts no new work
 * @param timeLeft the time until the engine shuts down; empty if unknown
 * @param queued the number of generations that wait to run
 * @param usedTokens the memory in use that cannot be freed, in tokens, by running generations and copies; 0 if unknown
 * @param generations the running generations
 */
public record EngineReport(
        long startedAtMillis,
        boolean leaving,
        Optional<Duration> timeLeft,
        int queued,
        long usedTokens,
        List<ReportedGeneration> generations) {
    /** The priority of generations for which none was stated. */
    public static final int DEFAULT_PRIORITY = 5;

    /**
     * A generation running on an engine.
     *
     * @param id the identifier of the generation's call
     * @param tokens the size of its KV cache in tokens
     * @param events the number of events produced so far
     * @param priority the priority that the engine was told, from 0, which is served first, to 9
     */
    public record ReportedGeneration(String id, long tokens, long events, int priority) {}
}

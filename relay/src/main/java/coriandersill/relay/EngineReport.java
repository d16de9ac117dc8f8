package coriandersill.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What an engine says of itself; some hundred milliseconds old.
 *
 * @param leaving whether it takes no new work
 * @param timeLeft how long it stays; empty where it does not know
 * @param generations the generations that run
 */
public record EngineReport(boolean leaving, Optional<Duration> timeLeft, List<ReportedGeneration> generations) {

    /**
     * A generation that runs at an engine.
     *
     * @param id the attempt that started it
     * @param tokens its memory in tokens
     * @param events the events that it has produced
     */
    public record ReportedGeneration(String id, long tokens, long events) {}
}

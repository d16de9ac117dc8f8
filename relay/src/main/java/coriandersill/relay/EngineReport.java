package coriandersill.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What an engine says of itself; some hundred milliseconds old.
 *
 * @param leaving whether it takes no new work
 * @param leavesIn how long it stays; empty where it does not know
 * @param runs the generations that run
 */
public record EngineReport(boolean leaving, Optional<Duration> leavesIn, List<ReportedRun> runs) {

    /**
     * A generation that runs at an engine.
     *
     * @param id the attempt that started it
     * @param tokens its memory in tokens
     * @param events the events that it has produced
     */
    public record ReportedRun(String id, long tokens, long events) {}
}

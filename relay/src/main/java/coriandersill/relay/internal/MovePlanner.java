package coriandersill.relay.internal;

import coriandersill.catalog.EngineProperties;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.relay.EngineReport;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Decides when each of this entry's generations moves off an engine that is leaving. */
final class MovePlanner {
    /** The timeout for the engine's report; without a report the schedule covers only this entry's own generations. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(80);

    /** The minimum time given to a move, so that its first copy can complete. */
    private static final Duration MIN_MOVE_TIME = Duration.ofMillis(400);

    /**
     * Generations may move to any zone, which spreads the load, if the longer copies between zones take at most this
     * fraction of the time left.
     */
    private static final double ANY_ZONE_TIME_FRACTION = 0.8;

    private final RelayComponents components;

    MovePlanner(RelayComponents components) {
        this.components = components;
    }

    /** Plans the moves off {@code engine}, which shuts down after {@code timeLeft}. */
    void planMoves(Upstream engine, Duration timeLeft) {
        List<GenerationCall> own = components.generations().movable(engine.instance());
        List<GenerationCall> restartable = components.generations().restartable(engine.instance());
        if (!restartable.isEmpty()) {
            report(engine).thenAccept(report -> restartWaiting(engine, restartable, report));
        }
        if (own.isEmpty()) {
            return;
        }
        long noticedAtNanos = components.clock().nanos();
        // All generations on an engine belong to its service; the plan of the first one stands for all of them.
        CompletableFuture<Set<InstanceId>> targetsRefreshed =
                components.loadReader().refresh(components.selector().sampleTargets(own.get(0).plan, engine));
        report(engine)
                .orTimeout(REPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenCombine(targetsRefreshed, (report, answered) -> report)
                .whenComplete((report, error) -> {
                    List<EngineReport.ReportedGeneration> generations =
                            error == null ? report.generations() : List.of();
                    Optional<Duration> stated = error == null ? report.timeLeft() : Optional.empty();
                    String reportFailure =
                            error == null ? "" : CallFailure.from(error).getMessage();
                    Duration sinceNotice = Duration.ofNanos(components.clock().nanos() - noticedAtNanos);
                    scheduleMoves(engine, own, generations, timeLeft(timeLeft, sinceNotice, stated), reportFailure);
                });
    }

    /**
     * Returns the time until the engine shuts down. A notice may have been on its way for some hundred milliseconds, so
     * that the engine shuts down sooner than the time counted from its arrival; the engine itself knows.
     */
    static Duration timeLeft(Duration atNotice, Duration sinceNotice, Optional<Duration> stated) {
        Duration counted = atNotice.minus(sinceNotice);
        return stated.filter(left -> left.compareTo(counted) < 0).orElse(counted);
    }

    /** Requests the report of an engine unless it wants no request. */
    private CompletableFuture<EngineReport> report(Upstream engine) {
        return components.upstreams().isQuiet(engine.instance())
                ? CompletableFuture.failedFuture(CallFailure.of(ErrorKind.OVERLOADED, "the engine wants no request"))
                : components.loadReader().requestReport(engine);
    }

    /** Sends the generations elsewhere that wait in the engine's queue, since they would not begin in time. */
    private static void restartWaiting(Upstream engine, List<GenerationCall> calls, EngineReport report) {
        Set<String> running = report.generations().stream()
                .map(EngineReport.ReportedGeneration::id)
                .collect(Collectors.toUnmodifiableSet());
        if (report.queued() > 0) {
            calls.stream()
                    .filter(call -> !running.contains(call.callId()))
                    .forEach(call -> call.restartElsewhere(engine));
        }
    }

    private void scheduleMoves(
            Upstream engine,
            List<GenerationCall> own,
            List<EngineReport.ReportedGeneration> generations,
            Duration timeLeft,
            String reportFailure) {
        EngineProperties engineProperties = own.get(0).plan.service().engine().orElseThrow();
        List<CopyScheduler.Generation> reported = generations.stream()
                .map(generation ->
                        new CopyScheduler.Generation(generation.id(), generation.tokens(), generation.priority()))
                .toList();
        List<CopyScheduler.Generation> ownGenerations = own.stream()
                .map(call -> new CopyScheduler.Generation(
                        call.callId(),
                        call.plan.promptTokens(),
                        call.requestPriority().orElse(EngineReport.DEFAULT_PRIORITY)))
                .toList();
        // Without free memory in the zone, every copy is scheduled as a longer one to another zone.
        CopyScheduler.Schedule anyZoneSchedule = CopyScheduler.schedule(reported, ownGenerations, engineProperties, 0);
        boolean anyZone = anyZoneSchedule.total().toNanos() <= timeLeft.toNanos() * ANY_ZONE_TIME_FRACTION;
        long zoneFreeTokens = components.selector().freeTokensInZoneOf(own.get(0).plan, engine);
        Map<String, CopyScheduler.ScheduledMove> moves = anyZone
                ? anyZoneSchedule.moves()
                : CopyScheduler.schedule(reported, ownGenerations, engineProperties, zoneFreeTokens)
                        .moves();
        Map<String, Object> details = new HashMap<>();
        details.put("engine", engine.instance());
        details.put("reported_generations", generations.size());
        details.put("own_generations", own.size());
        details.put("any_zone", anyZone);
        details.put("time_left_ms", timeLeft.toMillis());
        details.put("without_report", reportFailure);
        details.put("room_near", zoneFreeTokens);
        moves.forEach((id, move) -> details.put("start_ms." + id, move.start().toMillis()));
        components.events().record(EventCode.MOVES_PLANNED, details);
        for (GenerationCall call : own) {
            CopyScheduler.ScheduledMove move = moves.get(call.callId());
            Duration timeLimit = timeLeft.minus(move.start());
            call.moves()
                    .schedule(
                            engine,
                            move.start(),
                            timeLimit.compareTo(MIN_MOVE_TIME) < 0 ? MIN_MOVE_TIME : timeLimit,
                            new TargetCriteria(anyZone, move.otherEntriesTokensBefore()));
        }
    }
}

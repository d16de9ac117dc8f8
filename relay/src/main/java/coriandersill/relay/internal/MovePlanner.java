package coriandersill.relay.internal;

import coriandersill.catalog.EngineRule;
import coriandersill.core.CallFailure;
import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.relay.EngineReport;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Decides when each generation of this entry moves off an engine that leaves. */
final class MovePlanner {
    /** How long the engine's report is waited for; without it the entry goes by what it runs there itself. */
    private static final Duration REPORT_WAIT = Duration.ofMillis(80);

    /** What a move has at least, so that its first copying may end. */
    private static final Duration LEAST_TIME = Duration.ofMillis(400);

    /**
     * Generations go to any zone, so that the load spreads, where the longer copies take at most this part of the time.
     */
    private static final double ROOMY_PART = 0.8;

    private final RelayComponents parts;

    MovePlanner(RelayComponents parts) {
        this.parts = parts;
    }

    /** Plans the moves off {@code engine}, which works on for {@code timeLeft}. */
    void leaving(Upstream engine, Duration timeLeft) {
        List<GenerationCall> own = parts.generations().movable(engine.instance());
        if (own.isEmpty()) {
            return;
        }
        long noticed = parts.clock().nanos();
        CompletableFuture<Set<InstanceId>> targetsKnown =
                parts.loads().refresh(parts.choice().targetSample(own.get(0).plan, engine));
        parts.engines()
                .report(engine)
                .orTimeout(REPORT_WAIT.toMillis(), TimeUnit.MILLISECONDS)
                .thenCombine(targetsKnown, (report, answered) -> report)
                .whenComplete((report, error) -> {
                    List<EngineReport.ReportedGeneration> runs = error == null ? report.generations() : List.of();
                    String without =
                            error == null ? "" : CallFailure.from(error).getMessage();
                    plan(engine, own, runs, timeLeft.minusNanos(parts.clock().nanos() - noticed), without);
                });
    }

    private void plan(
            Upstream engine,
            List<GenerationCall> own,
            List<EngineReport.ReportedGeneration> runs,
            Duration timeLeft,
            String withoutReport) {
        EngineRule rule = own.get(0).plan.service().engine().orElseThrow();
        List<CopyScheduler.Generation> reported = runs.stream()
                .map(run -> new CopyScheduler.Generation(run.id(), run.tokens()))
                .toList();
        List<CopyScheduler.Generation> ours = own.stream()
                .map(call -> new CopyScheduler.Generation(call.id(), call.plan.promptTokens()))
                .toList();
        CopyScheduler.Schedule far = CopyScheduler.plan(reported, ours, rule, 0);
        boolean anyZone = far.total().toNanos() <= timeLeft.toNanos() * ROOMY_PART;
        long roomNear = parts.choice().roomInZoneOf(own.get(0).plan, engine);
        Map<String, CopyScheduler.ScheduledMove> turns = anyZone
                ? far.turns()
                : CopyScheduler.plan(reported, ours, rule, roomNear).turns();
        Map<String, Object> details = new HashMap<>();
        details.put("engine", engine.instance());
        details.put("reported_generations", runs.size());
        details.put("own_generations", own.size());
        details.put("any_zone", anyZone);
        details.put("time_left_ms", timeLeft.toMillis());
        details.put("without_report", withoutReport);
        details.put("room_near", roomNear);
        turns.forEach((id, turn) -> details.put("start_ms." + id, turn.start().toMillis()));
        parts.events().record(EventCode.MOVES_PLANNED, details);
        for (GenerationCall call : own) {
            CopyScheduler.ScheduledMove turn = turns.get(call.id());
            Duration time = timeLeft.minus(turn.start());
            call.moveOff(
                    engine,
                    turn.start(),
                    time.compareTo(LEAST_TIME) < 0 ? LEAST_TIME : time,
                    new TargetCriteria(anyZone, turn.othersBefore()));
        }
    }
}

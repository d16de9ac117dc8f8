package coriandersill.relay.internal;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.quarantine.CallTraits;
import coriandersill.quarantine.EngineIncarnation;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.relay.EngineControl;
import coriandersill.relay.EngineProcessState;
import coriandersill.relay.ProcessCheck;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamTable;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Determines whether an engine's process ended when connections to it broke, and reports the generations that may have
 * crashed it: those that it had not proven to serve. An engine that had announced its departure is not asked, and a
 * generation that the caller or this entry cancelled is not reported.
 *
 * <p>All connections of a process that ends break at about the same time, so breaks are collected for
 * {@link #COLLECTION_MILLIS} before the engine is asked. Thread-safe: guarded by a lock of rank
 * {@link LockRank#STREAMS}.
 */
final class CrashDetector {
    /** How long breaks of one engine are collected before it is asked whether it still runs. */
    private static final long COLLECTION_MILLIS = 25;

    /** The number of events after which a generation counts as served: the engine outlived its beginning. */
    static final long EVENTS_OF_SUCCESS = 2;

    /** The maximum number of broken generations collected for one engine. */
    private static final int MAX_GENERATIONS = 64;

    private final RankedLock lock = RankedLock.of(LockRank.STREAMS);
    private final Map<EngineIncarnation, List<BrokenGeneration>> collecting = new HashMap<>();
    private final Vertx vertx;
    private final EngineControl engineControl;
    private final UpstreamTable upstreams;
    private final PromptQuarantine quarantine;
    private final WorkerPool workers;
    private final RelayMetrics metrics;
    private final EventLog events;

    CrashDetector(
            Vertx vertx,
            EngineControl engineControl,
            UpstreamTable upstreams,
            PromptQuarantine quarantine,
            WorkerPool workers,
            RelayMetrics metrics,
            EventLog events) {
        this.vertx = vertx;
        this.engineControl = engineControl;
        this.upstreams = upstreams;
        this.quarantine = quarantine;
        this.workers = workers;
        this.metrics = metrics;
        this.events = events;
    }

    /** Records that the connection of a generation to {@code engine} broke without this entry having asked for it. */
    void connectionBroke(Upstream engine, BrokenGeneration generation) {
        // Checked now, since the listing of an engine that crashes may end before the engine is asked.
        if (upstreams.isLeavingOrUnknown(engine.instance())) {
            return;
        }
        EngineIncarnation incarnation = new EngineIncarnation(engine.instance(), engine.startedAtMillis());
        boolean isFirst = lock.with(() -> {
            List<BrokenGeneration> broken = collecting.get(incarnation);
            if (broken == null) {
                broken = new ArrayList<>();
                collecting.put(incarnation, broken);
            }
            if (broken.size() < MAX_GENERATIONS) {
                broken.add(generation);
            }
            return broken.size() == 1;
        });
        if (isFirst) {
            vertx.setTimer(COLLECTION_MILLIS, timer -> askEngine(engine, incarnation));
        }
    }

    private void askEngine(Upstream engine, EngineIncarnation incarnation) {
        ProcessCheck check =
                upstreams.isQuiet(engine.instance()) ? ProcessCheck.CONNECTION : ProcessCheck.OPTIONAL_REPORT;
        engineControl.processState(engine, check).whenComplete((state, error) -> {
            List<BrokenGeneration> broken = lock.with(() -> collecting.remove(incarnation));
            EngineProcessState known = error == null ? state : EngineProcessState.UNKNOWN;
            List<BrokenGeneration> suspects = broken.stream()
                    .filter(generation -> generation.events() < EVENTS_OF_SUCCESS)
                    .toList();
            record(engine, broken.size(), suspects, known);
            if (known == EngineProcessState.ENDED && !suspects.isEmpty()) {
                report(incarnation, suspects);
            }
        });
    }

    private void report(EngineIncarnation engine, List<BrokenGeneration> suspects) {
        List<CallTraits> traits =
                suspects.stream().map(BrokenGeneration::traits).toList();
        workers.executeOrRun(() -> quarantine.recordOwnCrash(engine, traits));
    }

    private void record(Upstream engine, int brokenCount, List<BrokenGeneration> suspects, EngineProcessState state) {
        metrics.increment("relay.engine.broken." + state.name().toLowerCase(Locale.ROOT));
        events.record(
                EventCode.ENGINE_BROKE,
                Map.of(
                        "engine", engine.instance(),
                        "started_ms", engine.startedAtMillis(),
                        "version", engine.version(),
                        "process", state,
                        "begun", brokenCount - suspects.size(),
                        "not_begun",
                                suspects.stream()
                                        .map(generation -> generation.callId()
                                                + generation.traits().parts())
                                        .toList()));
    }
}

package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.InstanceId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.relay.EngineControl;
import coriandersill.relay.EngineProcessState;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamTable;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Determines whether an engine's process ended when connections to it broke, and which generations had not begun there.
 *
 * <p>All connections of a process that ends break at about the same time, so breaks are collected for
 * {@link #COLLECTION_MILLIS} before the engine is asked. Thread-safe: guarded by a lock of rank
 * {@link LockRank#STREAMS}.
 */
final class CrashDetector {
    /** How long breaks of one engine are collected before it is asked whether it still runs. */
    private static final long COLLECTION_MILLIS = 25;

    /** The maximum number of broken generations collected for one engine. */
    private static final int MAX_GENERATIONS = 64;

    private final RankedLock lock = RankedLock.of(LockRank.STREAMS);
    private final Map<Incarnation, List<BrokenGeneration>> collecting = new HashMap<>();
    private final Vertx vertx;
    private final EngineControl engineControl;
    private final UpstreamTable upstreams;
    private final RelayMetrics metrics;
    private final EventLog events;

    CrashDetector(
            Vertx vertx, EngineControl engineControl, UpstreamTable upstreams, RelayMetrics metrics, EventLog events) {
        this.vertx = vertx;
        this.engineControl = engineControl;
        this.upstreams = upstreams;
        this.metrics = metrics;
        this.events = events;
    }

    private record Incarnation(InstanceId instance, long startedAtMillis) {}

    /** Records that the connection of a generation to {@code engine} broke without a request of this entry. */
    void connectionBroke(Upstream engine, BrokenGeneration generation) {
        Incarnation incarnation = new Incarnation(engine.instance(), engine.startedAtMillis());
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

    private void askEngine(Upstream engine, Incarnation incarnation) {
        engineControl.processState(engine).whenComplete((state, error) -> {
            List<BrokenGeneration> broken = lock.with(() -> collecting.remove(incarnation));
            record(engine, broken, error == null ? state : EngineProcessState.UNKNOWN, error);
        });
    }

    private void record(Upstream engine, List<BrokenGeneration> broken, EngineProcessState state, Throwable error) {
        boolean leaving = upstreams.isLeavingOrUnknown(engine.instance());
        metrics.increment(
                "relay.engine.broken." + (leaving ? "leaving" : state.name().toLowerCase(Locale.ROOT)));
        events.record(
                EventCode.ENGINE_BROKE,
                Map.of(
                        "engine", engine.instance(),
                        "started_ms", engine.startedAtMillis(),
                        "version", engine.version(),
                        "process", state,
                        "leaving", leaving,
                        "detail",
                                error == null
                                        ? ""
                                        : String.valueOf(CallFailure.from(error).getMessage()),
                        "begun",
                                broken.stream()
                                        .filter(generation -> generation.events() > 0)
                                        .count(),
                        "not_begun",
                                broken.stream()
                                        .filter(generation -> generation.events() == 0)
                                        .map(generation -> generation.callId() + generation.parts())
                                        .toList()));
    }
}

package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.relay.EngineControl;
import coriandersill.relay.EngineReport;
import coriandersill.routing.OtherEntriesLoad;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamTable;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Asks engines for their reports when a decision needs them: what other entries run there, and whether they leave.
 *
 * <p>The number of questions grows with the generations that an entry takes, not with entries times engines. Safe for
 * use by many threads.
 */
final class LoadReader {
    /** A report that was read so lately is not read again. */
    private static final Duration FRESH = Duration.ofMillis(150);

    /** How long a decision waits for reports; an engine that takes longer is not preferred. */
    private static final Duration WAIT = Duration.ofMillis(40);

    /** The age of the listings from which an entry asks the engines that run its generations whether they leave. */
    private static final Duration OLD_LISTINGS = Duration.ofSeconds(1);

    /** How often it asks then. */
    private static final long WATCH_MILLIS = 400;

    private final Vertx vertx;
    private final EngineControl control;
    private final WorkerPool workers;
    private final UpstreamChoice choice;
    private final UpstreamTable upstreams;
    private final GenerationTable generations;
    private final MonotonicClock clock;
    private final EventLog events;
    private final Map<InstanceId, Long> readAt = new ConcurrentHashMap<>();
    private final Map<InstanceId, CompletableFuture<Boolean>> open = new ConcurrentHashMap<>();

    LoadReader(
            Vertx vertx,
            EngineControl control,
            WorkerPool workers,
            UpstreamChoice choice,
            UpstreamTable upstreams,
            GenerationTable generations,
            MonotonicClock clock,
            EventLog events) {
        this.vertx = vertx;
        this.control = control;
        this.workers = workers;
        this.choice = choice;
        this.upstreams = upstreams;
        this.generations = generations;
        this.clock = clock;
        this.events = events;
    }

    /** Starts to watch the engines that run this entry's generations while the listings are old. */
    void start() {
        vertx.setPeriodic(WATCH_MILLIS, timer -> watch());
    }

    /** Reads the reports of {@code engines}; completes, never with a failure, with those that answered in time. */
    CompletableFuture<Set<InstanceId>> refresh(List<Upstream> engines) {
        Map<InstanceId, CompletableFuture<Boolean>> reads =
                engines.stream().collect(Collectors.toMap(Upstream::instance, this::readIfOld));
        return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
                .completeOnTimeout(null, WAIT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(ended -> reads.entrySet().stream()
                        .filter(read -> read.getValue().getNow(false))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toUnmodifiableSet()));
    }

    private CompletableFuture<Boolean> readIfOld(Upstream engine) {
        Long last = readAt.get(engine.instance());
        if (last != null && clock.nanos() - last < FRESH.toNanos()) {
            return CompletableFuture.completedFuture(true);
        }
        CompletableFuture<Boolean> read = new CompletableFuture<>();
        CompletableFuture<Boolean> underWay = open.putIfAbsent(engine.instance(), read);
        if (underWay != null) {
            return underWay;
        }
        read(engine, read);
        return read;
    }

    private void read(Upstream engine, CompletableFuture<Boolean> read) {
        control.report(engine)
                .thenCompose(report -> workers.submit(() -> note(engine, report)))
                .whenComplete((noted, error) -> {
                    open.remove(engine.instance(), read);
                    if (error != null) {
                        silent(engine, CallFailure.from(error));
                    }
                    read.complete(error == null);
                });
    }

    private boolean note(Upstream engine, EngineReport report) {
        readAt.put(engine.instance(), clock.nanos());
        readAt.keySet().retainAll(upstreams.known());
        choice.others(engine, others(engine, report));
        if (report.leaving() || report.leavesIn().isPresent()) {
            upstreams.saysLeaving(engine.instance());
        }
        return true;
    }

    private void silent(Upstream engine, CallFailure failure) {
        events.record(
                EventCode.ENGINE_SILENT,
                Map.of(
                        "engine", engine.instance(),
                        "detail", String.valueOf(failure.getMessage()),
                        "listings_age_ms", upstreams.age().toMillis()));
    }

    private void watch() {
        if (upstreams.age().compareTo(OLD_LISTINGS) > 0) {
            choice.engines().stream()
                    .filter(engine -> !generations.ids(engine.instance()).isEmpty())
                    .forEach(this::readIfOld);
        }
    }

    private OtherEntriesLoad others(Upstream engine, EngineReport report) {
        Set<String> own = generations.ids(engine.instance());
        int runs = 0;
        long tokens = 0;
        for (EngineReport.ReportedRun run : report.runs()) {
            if (!own.contains(run.id())) {
                runs++;
                tokens += run.tokens();
            }
        }
        return new OtherEntriesLoad(runs, tokens, 0);
    }
}

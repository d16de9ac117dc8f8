package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import coriandersill.relay.EngineControl;
import coriandersill.relay.EngineReport;
import coriandersill.routing.LoadReport;
import coriandersill.routing.OtherEntriesLoad;
import coriandersill.routing.ReportedLoad;
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
 * Requests engine reports when a decision needs them: the load from other entries, and whether the engine is leaving.
 *
 * <p>Reports are read on demand so that the number of requests grows with the generations that an entry accepts, not
 * with the number of entries times engines. Thread-safe.
 */
final class LoadReader {
    /** An engine whose last report is younger than this is not asked again. */
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(150);

    /** How long a decision waits for reports; engines that take longer are not preferred. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(40);

    /** The age of the listings above which engines are asked directly whether they are leaving. */
    private static final Duration MAX_LISTINGS_AGE = Duration.ofSeconds(1);

    /** The interval at which the age of the listings is checked and, if they are stale, engines are asked. */
    private static final long DEPARTURE_CHECK_INTERVAL_MILLIS = 400;

    /** The time without a check from which the checks count as stalled. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(3);

    private final Vertx vertx;
    private final EngineControl engineControl;
    private final WorkerPool workers;
    private final UpstreamSelector selector;
    private final UpstreamTable upstreams;
    private final GenerationTable generations;
    private final MonotonicClock clock;
    private final EventLog events;
    private final LoopGuard guard;
    private final Map<InstanceId, Long> readAtNanos = new ConcurrentHashMap<>();
    private final Map<InstanceId, CompletableFuture<Boolean>> pendingReads = new ConcurrentHashMap<>();

    LoadReader(
            Vertx vertx,
            EngineControl engineControl,
            WorkerPool workers,
            UpstreamSelector selector,
            UpstreamTable upstreams,
            GenerationTable generations,
            MonotonicClock clock,
            EventLog events,
            Loops loops) {
        this.vertx = vertx;
        this.engineControl = engineControl;
        this.workers = workers;
        this.selector = selector;
        this.upstreams = upstreams;
        this.generations = generations;
        this.clock = clock;
        this.events = events;
        this.guard = loops.register("checks for engines that leave", STALL_BOUND);
    }

    /** Starts polling the engines that run this entry's generations while the listings are stale. */
    void start() {
        vertx.setPeriodic(DEPARTURE_CHECK_INTERVAL_MILLIS, timer -> guard.runPeriodic(this::checkForDepartures));
    }

    /**
     * Requests the reports of those {@code candidates} that have no recent one. The future completes with the engines
     * that have a recent report or answered in time, and never fails.
     */
    CompletableFuture<Set<InstanceId>> refresh(List<Upstream> candidates) {
        Map<InstanceId, CompletableFuture<Boolean>> reads =
                candidates.stream().collect(Collectors.toMap(Upstream::instance, this::readIfStale));
        return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
                .completeOnTimeout(null, REPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(ended -> reads.entrySet().stream()
                        .filter(read -> read.getValue().getNow(false))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toUnmodifiableSet()));
    }

    private CompletableFuture<Boolean> readIfStale(Upstream engine) {
        Long lastReadAtNanos = readAtNanos.get(engine.instance());
        if (lastReadAtNanos != null && clock.nanos() - lastReadAtNanos < MAX_REPORT_AGE.toNanos()) {
            return CompletableFuture.completedFuture(true);
        }
        CompletableFuture<Boolean> read = new CompletableFuture<>();
        CompletableFuture<Boolean> pending = pendingReads.putIfAbsent(engine.instance(), read);
        if (pending != null) {
            return pending;
        }
        read(engine, read);
        return read;
    }

    private void read(Upstream engine, CompletableFuture<Boolean> read) {
        requestReport(engine)
                .thenCompose(report -> workers.submit(() -> applyReport(engine, report)))
                .whenComplete((applied, error) -> {
                    pendingReads.remove(engine.instance(), read);
                    read.complete(error == null);
                    if (error != null) {
                        recordNoReport(engine, CallFailure.from(error));
                    }
                });
    }

    /** Requests a report; the future fails with whatever the request throws. */
    CompletableFuture<EngineReport> requestReport(Upstream engine) {
        try {
            return engineControl.report(engine);
        } catch (RuntimeException | Error error) {
            return CompletableFuture.failedFuture(error);
        }
    }

    /**
     * Applies the load that an engine states in a response, which makes its report needless for a while. It counts
     * generations; those of other entries are assumed to occupy as much memory each as in the last report.
     */
    void applyClaim(Upstream engine, LoadReport claim) {
        int otherEntries = Math.max(0, claim.running() + claim.waiting() - selector.inFlight(engine));
        OtherEntriesLoad reported = selector.otherEntriesLoad(engine);
        if (otherEntries > 0 && reported.inFlight() == 0) {
            // The memory of the other entries' generations is unknown; only a report states it.
            return;
        }
        long tokensEach = reported.inFlight() == 0 ? 0 : reported.reservedTokens() / reported.inFlight();
        readAtNanos.put(engine.instance(), clock.nanos());
        selector.updateOtherEntriesLoad(engine, new OtherEntriesLoad(otherEntries, otherEntries * tokensEach, 0));
    }

    private boolean applyReport(Upstream engine, EngineReport report) {
        readAtNanos.put(engine.instance(), clock.nanos());
        readAtNanos.keySet().retainAll(upstreams.instanceIds());
        selector.updateOtherEntriesLoad(engine, otherEntriesLoad(engine, report));
        if (report.leaving() || report.timeLeft().isPresent()) {
            upstreams.markLeaving(engine.instance());
        }
        return true;
    }

    private void recordNoReport(Upstream engine, CallFailure failure) {
        events.record(
                EventCode.ENGINE_SILENT,
                Map.of(
                        "engine", engine.instance(),
                        "detail", String.valueOf(failure.getMessage()),
                        "listings_age_ms", upstreams.listingsAge().toMillis()));
    }

    private void checkForDepartures() {
        if (upstreams.listingsAge().compareTo(MAX_LISTINGS_AGE) > 0) {
            List<Upstream> running = selector.listedEngines().stream()
                    .filter(engine -> !generations.callIds(engine.instance()).isEmpty())
                    .filter(engine -> !upstreams.isQuiet(engine.instance()))
                    .toList();
            guard.forEach(running, this::readIfStale);
        }
    }

    private OtherEntriesLoad otherEntriesLoad(Upstream engine, EngineReport report) {
        List<ReportedLoad.Generation> running = report.generations().stream()
                .map(generation -> new ReportedLoad.Generation(generation.id(), generation.tokens()))
                .toList();
        return new ReportedLoad(running, report.queued(), report.usedTokens())
                .withoutOwn(generations.callIds(engine.instance()));
    }
}

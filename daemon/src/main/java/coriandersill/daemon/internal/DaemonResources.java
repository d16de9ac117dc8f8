package coriandersill.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.daemon.DaemonSettings;
import coriandersill.events.EventLog;
import coriandersill.events.JsonEventLog;
import coriandersill.events.Loops;
import coriandersill.sharedlog.Scheduler;
import coriandersill.sharedlog.http.HttpPlatformClient;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireSettings;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** The resources that every role uses: event loops, workers, timers, the platform's clients, events and metrics. */
final class DaemonResources implements ManagedService {
    private static final int WIRE_EVENT_LOOP_COUNT = 2;
    private static final long LOOP_CHECK_INTERVAL_MILLIS = 250;
    private static final Duration WIRE_EVENT_LOOPS_STOP_TIMEOUT = Duration.ofMillis(200);

    private final DaemonSettings settings;

    /** Increases with each start of the instance, so that peers can tell a restarted process from its predecessor. */
    private final long incarnation = System.currentTimeMillis();

    private final Vertx vertx = Vertx.vertx();
    private final WireEventLoops wireEventLoops = WireEventLoops.of(WIRE_EVENT_LOOP_COUNT);
    private final WorkerPool workers;
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "timers");
        thread.setDaemon(true);
        return thread;
    });
    private final Scheduler scheduler = Scheduler.of(timers);
    private final SecureRandom random = new SecureRandom();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLog events;
    private final Loops loops;
    private final HttpPlatformClient platform;

    DaemonResources(DaemonSettings settings) {
        this.settings = settings;
        this.workers = WorkerPool.of(
                settings.instance().value(),
                settings.workers().threads(),
                settings.workers().queueCapacity());
        this.events = JsonEventLog.of(settings.instance().value(), InstantSource.system());
        this.loops = Loops.create(MonotonicClock.system(), events);
        this.platform = HttpPlatformClient.builder(
                        vertx, settings.platform().host(), settings.platform().port())
                .executor(workers::executeOrRun)
                .build();
    }

    WireSettings wireSettings(String role, String service, String version) {
        PeerIdentity self = new PeerIdentity(settings.instance(), incarnation, role, settings.zone(), service, version);
        WireSettings wire = WireSettings.of(self);
        return settings.tls().map(wire::withTls).orElse(wire);
    }

    long incarnation() {
        return incarnation;
    }

    Vertx vertx() {
        return vertx;
    }

    WireEventLoops wireEventLoops() {
        return wireEventLoops;
    }

    WorkerPool workers() {
        return workers;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    SecureRandom random() {
        return random;
    }

    MetricRegistry metrics() {
        return metrics;
    }

    EventLog events() {
        return events;
    }

    Loops loops() {
        return loops;
    }

    HttpPlatformClient platform() {
        return platform;
    }

    @Override
    public CompletableFuture<Void> start() {
        vertx.setPeriodic(LOOP_CHECK_INTERVAL_MILLIS, timer -> loops.check());
        return workers.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        timers.shutdownNow();
        return platform.stop(grace)
                .thenCompose(done -> wireEventLoops.stop(WIRE_EVENT_LOOPS_STOP_TIMEOUT))
                .thenCompose(done -> vertx.close().toCompletionStage())
                .thenCompose(done -> workers.stop(grace));
    }
}

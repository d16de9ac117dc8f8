package coriandersill.daemon.embedded;

import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.log.ApplyResult;
import coriandersill.configuration.log.ConfigurationClient;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.daemon.Daemon;
import coriandersill.daemon.DaemonSettings;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import coriandersill.standins.engine.EngineStandIn;
import coriandersill.standins.engine.PlainStandIn;
import coriandersill.standins.platform.InMemoryLog;
import coriandersill.standins.platform.InstanceTable;
import coriandersill.standins.platform.PlatformServer;
import coriandersill.standins.platform.WeightShelf;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Whole daemons, stand-in upstreams and a stand-in platform on real sockets in one process.
 *
 * <pre>{@code
 * EmbeddedSet set = EmbeddedSet.create(EmbeddedPlan.small());
 * set.start().join();
 * set.ready().join();
 * call("http://127.0.0.1:" + set.entryPort(0) + "/v1/completions", set.apiKey());
 * }</pre>
 */
public final class EmbeddedCluster implements ManagedService {
    /** The generating service. */
    public static final ServiceName SCRIBE = ServiceName.of("scribe");

    /** The plain service. */
    public static final ServiceName LEDGER = ServiceName.of("ledger");

    private static final String HOST = "127.0.0.1";
    private static final Duration INSTANCE_AGE = Duration.ofSeconds(10);
    private static final DaemonSettings.Workers WORKERS = new DaemonSettings.Workers(2, 20_000);

    private final EmbeddedClusterSettings plan;
    private final Vertx vertx = Vertx.vertx();
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "embedded-timers");
        thread.setDaemon(true);
        return thread;
    });
    private final InMemoryLog log = InMemoryLog.of(InstantSource.system(), Scheduler.of(timers));
    private final PlatformServer platform =
            PlatformServer.create(vertx, HOST, 0, log, InstanceTable.of(INSTANCE_AGE), WeightShelf.unlimited());
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<PlainStandIn> plainUpstreams = new ArrayList<>();
    private final List<Daemon> sidecars = new ArrayList<>();
    private final List<Daemon> entries = new ArrayList<>();

    private EmbeddedCluster(EmbeddedClusterSettings plan) {
        this.plan = plan;
    }

    /** Returns a set that is not started. */
    public static EmbeddedCluster create(EmbeddedClusterSettings plan) {
        return new EmbeddedCluster(plan);
    }

    /** The API key of the one workspace. */
    public String apiKey() {
        return EmbeddedConfiguration.API_KEY;
    }

    /** The HTTP port of an entry. */
    public int entryPort(int number) {
        return entries.get(number).httpPort();
    }

    /** The entries. */
    public List<Daemon> entries() {
        return List.copyOf(entries);
    }

    /** The sidecars, those of the engines first. */
    public List<Daemon> sidecars() {
        return List.copyOf(sidecars);
    }

    /** The engines. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /** The upstreams of the plain service. */
    public List<PlainStandIn> plainUpstreams() {
        return List.copyOf(plainUpstreams);
    }

    /** The platform's log, with its faults. */
    public InMemoryLog log() {
        return log;
    }

    /** The port of the platform. */
    public int platformPort() {
        return platform.port();
    }

    /** Applies a change set as an operator would. */
    public CompletableFuture<ApplyResult> apply(ChangeSet change) {
        return ConfigurationClient.of(nonWaiting(), Scheduler.of(timers), Duration.ofSeconds(10))
                .apply(change);
    }

    private PlatformLog nonWaiting() {
        return new PlatformLog() {
            @Override
            public CompletableFuture<Long> append(String stream, List<byte[]> records) {
                return log.append(stream, records);
            }

            @Override
            public CompletableFuture<LogPage> read(String stream, long from, int limit) {
                return log.readNow(stream, from, limit);
            }
        };
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = platform.start()
                .thenCompose(done -> apply(EmbeddedConfiguration.first(plan)))
                .thenAccept(EmbeddedCluster::checkAccepted);
        for (int i = 0; i < plan.engines(); i++) {
            int number = i;
            started = started.thenCompose(done -> addEngine(number, EmbeddedConfiguration.VERSION));
        }
        for (int i = 0; i < plan.plainUpstreams(); i++) {
            int number = i;
            started = started.thenCompose(done -> addPlain(number));
        }
        for (int i = 0; i < plan.entries(); i++) {
            int number = i;
            started = started.thenCompose(done -> addEntry(number));
        }
        return started;
    }

    private static void checkAccepted(ApplyResult result) {
        if (result.outcome() != ApplyResult.Outcome.ACCEPTED) {
            throw new IllegalStateException("first documents: expected them accepted, found " + result);
        }
    }

    /** Adds an engine of a version with its sidecar. */
    public CompletableFuture<Void> addEngine(int number, VersionName version) {
        EngineStandIn engine = EngineStandIn.create(vertx, HOST, 0, plan.engine());
        engines.add(engine);
        return engine.start()
                .thenCompose(
                        done -> addSidecar("scribe-" + version + "-" + number, number, SCRIBE, version, engine.port()));
    }

    private CompletableFuture<Void> addPlain(int number) {
        PlainStandIn plain = PlainStandIn.create(vertx, HOST, 0, plan.plainDelay());
        plainUpstreams.add(plain);
        return plain.start()
                .thenCompose(done ->
                        addSidecar("ledger-" + number, number, LEDGER, EmbeddedConfiguration.VERSION, plain.port()));
    }

    private CompletableFuture<Void> addSidecar(
            String name, int number, ServiceName service, VersionName version, int upstreamPort) {
        DaemonSettings.SidecarRole role = new DaemonSettings.SidecarRole(
                service, version, new DaemonSettings.Address(HOST, upstreamPort), Duration.ofSeconds(30));
        Daemon sidecar = Daemon.of(settings(name, EmbeddedConfiguration.zone(plan, number), role));
        sidecars.add(sidecar);
        return sidecar.start();
    }

    private CompletableFuture<Void> addEntry(int number) {
        int port = plan.port() == 0 ? 0 : plan.port() + number;
        DaemonSettings.EntryRole role = new DaemonSettings.EntryRole(
                new DaemonSettings.Address(HOST, port), 4 << 20, Duration.ofSeconds(20), 4);
        Daemon entry = Daemon.of(settings("entry-" + number, EmbeddedConfiguration.zone(plan, number), role));
        entries.add(entry);
        return entry.start();
    }

    private DaemonSettings settings(String name, AvailabilityZone zone, DaemonSettings.RoleSettings role) {
        DaemonSettings.Address free = new DaemonSettings.Address(HOST, 0);
        return new DaemonSettings(
                InstanceId.of(name),
                zone,
                new DaemonSettings.Address(HOST, platform.port()),
                free,
                free,
                WORKERS,
                Duration.ofSeconds(5),
                Optional.empty(),
                role);
    }

    /** Completes once every entry is ready and has every sidecar in service. */
    public CompletableFuture<Void> whenReady() {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        vertx.setPeriodic(20, timer -> {
            boolean entriesReady = entries.stream().allMatch(this::isReady);
            boolean sidecarsReady = sidecars.stream().allMatch(sidecar -> sidecar.notReadyReason() == null);
            if (entriesReady && sidecarsReady) {
                vertx.cancelTimer(timer);
                ready.complete(null);
            }
        });
        return ready;
    }

    private boolean isReady(Daemon entry) {
        return entry.notReadyReason() == null
                && entry.status().getInteger("sidecars_in_service") >= sidecars.size()
                && entry.status().getBoolean("claims_ready");
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return each(entries, grace)
                .thenCompose(done -> each(sidecars, grace))
                .thenCompose(done -> each(engines, grace))
                .thenCompose(done -> each(plainUpstreams, grace))
                .thenCompose(done -> platform.stop(Duration.ofMillis(100)))
                .thenCompose(done -> vertx.close().toCompletionStage())
                .thenRun(timers::shutdownNow);
    }

    private static CompletableFuture<Void> each(List<? extends ManagedService> services, Duration grace) {
        return CompletableFuture.allOf(
                services.stream().map(service -> service.stop(grace)).toArray(CompletableFuture[]::new));
    }
}

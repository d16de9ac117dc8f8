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
import coriandersill.entry.EntrySettings;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import coriandersill.standins.engine.EngineStandIn;
import coriandersill.standins.engine.PlainStandIn;
import coriandersill.standins.platform.InMemoryInstanceRegistry;
import coriandersill.standins.platform.InMemoryLog;
import coriandersill.standins.platform.InMemoryWeightStore;
import coriandersill.standins.platform.PlatformServer;
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
 * Complete daemons, stand-in upstreams and a stand-in platform in one process, connected over real sockets.
 *
 * <pre>{@code
 * EmbeddedCluster cluster = EmbeddedCluster.create(EmbeddedClusterSettings.small());
 * cluster.start().join();
 * cluster.whenReady().join();
 * call("http://127.0.0.1:" + cluster.entryPort(0) + "/v1/completions", cluster.apiKey());
 * }</pre>
 */
public final class EmbeddedCluster implements ManagedService {
    /** The name of the service whose upstreams are the model engines. */
    public static final ServiceName GENERATION_SERVICE = ServiceName.of("scribe");

    /** The name of the service whose upstreams answer plain HTTP calls. */
    public static final ServiceName PLAIN_SERVICE = ServiceName.of("ledger");

    private static final String HOST = "127.0.0.1";

    /** The time after which the platform removes an instance that has not renewed its registration. */
    private static final Duration REGISTRATION_LIFETIME = Duration.ofSeconds(10);

    // The same values as the defaults in SettingsReader.
    private static final Duration UPSTREAM_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration FIRST_TOKEN_DEADLINE = Duration.ofSeconds(20);
    private static final int MAX_ATTEMPTS = 4;

    private static final long READY_POLL_INTERVAL_MILLIS = 20;
    private static final DaemonSettings.Workers WORKERS = new DaemonSettings.Workers(2, 20_000);

    private final EmbeddedClusterSettings settings;
    private final Vertx vertx = Vertx.vertx();
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "embedded-timers");
        thread.setDaemon(true);
        return thread;
    });
    private final InMemoryLog log = InMemoryLog.of(InstantSource.system(), Scheduler.of(timers));
    private final PlatformServer platform = PlatformServer.create(
            vertx, HOST, 0, log, InMemoryInstanceRegistry.of(REGISTRATION_LIFETIME), InMemoryWeightStore.unlimited());
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<PlainStandIn> plainUpstreams = new ArrayList<>();
    private final List<Daemon> sidecars = new ArrayList<>();
    private final List<Daemon> entries = new ArrayList<>();

    private EmbeddedCluster(EmbeddedClusterSettings settings) {
        this.settings = settings;
    }

    /** Creates a cluster without starting it. */
    public static EmbeddedCluster create(EmbeddedClusterSettings settings) {
        return new EmbeddedCluster(settings);
    }

    /** Returns the API key of the only workspace. */
    public String apiKey() {
        return EmbeddedConfiguration.API_KEY;
    }

    /** Returns the HTTP port of an entry, by its index. */
    public int entryPort(int index) {
        return entries.get(index).httpPort();
    }

    /** Returns the entries. */
    public List<Daemon> entries() {
        return List.copyOf(entries);
    }

    /** Returns the sidecars, in the order in which they were added: those of the engines of the settings first. */
    public List<Daemon> sidecars() {
        return List.copyOf(sidecars);
    }

    /** Returns the engines. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /** Returns the upstreams of the plain service. */
    public List<PlainStandIn> plainUpstreams() {
        return List.copyOf(plainUpstreams);
    }

    /** Returns the platform's log, which also allows fault injection. */
    public InMemoryLog log() {
        return log;
    }

    /** Returns the port of the platform. */
    public int platformPort() {
        return platform.port();
    }

    /** Applies a change set in the same way as the command-line tool. */
    public CompletableFuture<ApplyResult> apply(ChangeSet change) {
        return ConfigurationClient.of(logWithoutLongPolling(), Scheduler.of(timers), Duration.ofSeconds(10))
                .apply(change);
    }

    /** Returns the log with reads that return immediately, because the client reads up to the end of the stream. */
    private PlatformLog logWithoutLongPolling() {
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
                .thenCompose(done -> apply(EmbeddedConfiguration.initialChangeSet(settings)))
                .thenAccept(EmbeddedCluster::checkAccepted);
        for (int i = 0; i < settings.engines(); i++) {
            int index = i;
            started = started.thenCompose(done -> addEngine(index, EmbeddedConfiguration.INITIAL_VERSION));
        }
        for (int i = 0; i < settings.plainUpstreams(); i++) {
            int index = i;
            started = started.thenCompose(done -> addPlainUpstream(index));
        }
        for (int i = 0; i < settings.entries(); i++) {
            int index = i;
            started = started.thenCompose(done -> addEntry(index));
        }
        return started;
    }

    private static void checkAccepted(ApplyResult result) {
        if (result.outcome() != ApplyResult.Outcome.ACCEPTED) {
            throw new IllegalStateException("initial documents: expected ACCEPTED, found " + result);
        }
    }

    /**
     * Adds an engine of the given version together with its sidecar. The index determines the availability zone and is
     * part of the sidecar's name, {@code scribe-VERSION-INDEX}.
     */
    public CompletableFuture<Void> addEngine(int index, VersionName version) {
        EngineStandIn engine = EngineStandIn.create(vertx, HOST, 0, settings.engine());
        engines.add(engine);
        return engine.start()
                .thenCompose(done -> addSidecar(
                        "scribe-" + version + "-" + index, index, GENERATION_SERVICE, version, engine.port()));
    }

    private CompletableFuture<Void> addPlainUpstream(int index) {
        PlainStandIn plain = PlainStandIn.create(vertx, HOST, 0, settings.plainDelay());
        plainUpstreams.add(plain);
        return plain.start()
                .thenCompose(done -> addSidecar(
                        "ledger-" + index, index, PLAIN_SERVICE, EmbeddedConfiguration.INITIAL_VERSION, plain.port()));
    }

    private CompletableFuture<Void> addSidecar(
            String name, int index, ServiceName service, VersionName version, int upstreamPort) {
        DaemonSettings.SidecarRole role = new DaemonSettings.SidecarRole(
                service, version, new DaemonSettings.Address(HOST, upstreamPort), UPSTREAM_TIMEOUT);
        Daemon sidecar = Daemon.of(daemonSettings(name, EmbeddedConfiguration.zone(settings, index), role));
        sidecars.add(sidecar);
        return sidecar.start();
    }

    private CompletableFuture<Void> addEntry(int index) {
        int port = settings.port() == 0 ? 0 : settings.port() + index;
        DaemonSettings.EntryRole role = new DaemonSettings.EntryRole(
                new DaemonSettings.Address(HOST, port),
                EntrySettings.CallerLimits.standard(),
                FIRST_TOKEN_DEADLINE,
                MAX_ATTEMPTS);
        Daemon entry = Daemon.of(daemonSettings("entry-" + index, EmbeddedConfiguration.zone(settings, index), role));
        entries.add(entry);
        return entry.start();
    }

    private DaemonSettings daemonSettings(String name, AvailabilityZone zone, DaemonSettings.RoleSettings role) {
        DaemonSettings.Address anyPort = new DaemonSettings.Address(HOST, 0);
        return new DaemonSettings(
                InstanceId.of(name),
                zone,
                new DaemonSettings.Address(HOST, platform.port()),
                anyPort,
                anyPort,
                WORKERS,
                Duration.ofSeconds(5),
                Optional.empty(),
                role);
    }

    /**
     * Returns a future that completes once all daemons are ready, and every entry has all sidecars in service and can
     * claim idempotency keys.
     */
    public CompletableFuture<Void> whenReady() {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        vertx.setPeriodic(READY_POLL_INTERVAL_MILLIS, timer -> {
            boolean entriesReady = entries.stream().allMatch(this::isEntryReady);
            boolean sidecarsReady = sidecars.stream().allMatch(sidecar -> sidecar.notReadyReason() == null);
            if (entriesReady && sidecarsReady) {
                vertx.cancelTimer(timer);
                ready.complete(null);
            }
        });
        return ready;
    }

    private boolean isEntryReady(Daemon entry) {
        return entry.notReadyReason() == null
                && entry.status().getInteger("sidecars_in_service") >= sidecars.size()
                && entry.status().getBoolean("claims_ready");
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return stopAll(entries, grace)
                .thenCompose(done -> stopAll(sidecars, grace))
                .thenCompose(done -> stopAll(engines, grace))
                .thenCompose(done -> stopAll(plainUpstreams, grace))
                .thenCompose(done -> platform.stop(Duration.ofMillis(100)))
                .thenCompose(done -> vertx.close().toCompletionStage())
                .thenRun(timers::shutdownNow);
    }

    private static CompletableFuture<Void> stopAll(List<? extends ManagedService> services, Duration grace) {
        return CompletableFuture.allOf(
                services.stream().map(service -> service.stop(grace)).toArray(CompletableFuture[]::new));
    }
}

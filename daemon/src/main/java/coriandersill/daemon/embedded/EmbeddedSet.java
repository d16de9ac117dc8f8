package coriandersill.daemon.embedded;

import coriandersill.admission.PredictiveAdmission;
import coriandersill.configuration.ApiKeyHash;
import coriandersill.configuration.Configuration;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.PlainRoute;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.VersionCapacity;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import coriandersill.entry.Entry;
import coriandersill.entry.EntrySettings;
import coriandersill.platform.ListedInstance;
import coriandersill.sidecar.Sidecar;
import coriandersill.sidecar.SidecarSettings;
import coriandersill.standins.engine.EngineStandIn;
import coriandersill.standins.engine.PlainStandIn;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireLoops;
import coriandersill.wire.WireSettings;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Entries, sidecars and stand-ins on real sockets in one process.
 *
 * <pre>{@code
 * EmbeddedSet set = EmbeddedSet.create(EmbeddedPlan.small());
 * set.start().join();
 * call("http://127.0.0.1:" + set.entryPort(0) + "/v1/completions", set.apiKey());
 * }</pre>
 */
public final class EmbeddedSet implements ManagedService {
    /** The generating service. */
    public static final ServiceName SCRIBE = ServiceName.of("scribe");

    /** The plain service. */
    public static final ServiceName LEDGER = ServiceName.of("ledger");

    private static final VersionName VERSION = VersionName.of("v1");
    private static final String HOST = "127.0.0.1";
    private static final String API_KEY = "quickstart.secret";
    private static final long MEMORY_TOKENS = 1_000_000;
    private static final int WORKERS = 4;
    private static final int WORKER_QUEUE = 20_000;

    private final EmbeddedPlan plan;
    private final Vertx vertx = Vertx.vertx();
    private final WireLoops loops = WireLoops.of(2);
    private final WorkerPool workers = WorkerPool.of("embedded", WORKERS, WORKER_QUEUE);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<PlainStandIn> plains = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<ListedInstance> listed = new CopyOnWriteArrayList<>();

    private EmbeddedSet(EmbeddedPlan plan) {
        this.plan = plan;
    }

    /** Returns a set that is not started. */
    public static EmbeddedSet create(EmbeddedPlan plan) {
        return new EmbeddedSet(plan);
    }

    /** The API key of the one workspace. */
    public String apiKey() {
        return API_KEY;
    }

    /** The HTTP port of an entry. */
    public int entryPort(int number) {
        return entries.get(number).port();
    }

    /** The entries. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** The sidecars, those of the engines first. */
    public List<Sidecar> sidecars() {
        return List.copyOf(sidecars);
    }

    /** The engines. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /** The upstreams of the plain service. */
    public List<PlainStandIn> plains() {
        return List.copyOf(plains);
    }

    @Override
    public CompletableFuture<Void> start() {
        workers.start();
        CompletableFuture<Void> started = CompletableFuture.completedFuture(null);
        for (int i = 0; i < plan.engines(); i++) {
            int number = i;
            EngineStandIn engine = EngineStandIn.create(vertx, HOST, 0, plan.engine());
            engines.add(engine);
            started = started.thenCompose(done -> engine.start())
                    .thenCompose(done -> startSidecar("scribe-" + number, number, SCRIBE, engine.port()));
        }
        for (int i = 0; i < plan.plainUpstreams(); i++) {
            int number = i;
            PlainStandIn plain = PlainStandIn.create(vertx, HOST, 0, plan.plainDelay());
            plains.add(plain);
            started = started.thenCompose(done -> plain.start())
                    .thenCompose(done -> startSidecar("ledger-" + number, number, LEDGER, plain.port()));
        }
        for (int i = 0; i < plan.entries(); i++) {
            int number = i;
            started = started.thenCompose(done -> startEntry(number));
        }
        return started;
    }

    private AvailabilityZone zone(int number) {
        return AvailabilityZone.of("zone-" + (char) ('a' + number % plan.zones()));
    }

    private CompletableFuture<Void> startSidecar(String name, int number, ServiceName service, int upstreamPort) {
        PeerIdentity self = new PeerIdentity(
                InstanceId.of(name), System.nanoTime(), "sidecar", zone(number), service.value(), VERSION.value());
        SidecarSettings settings = new SidecarSettings(
                WireSettings.of(self), HOST, 0, service, VERSION, HOST, upstreamPort, Duration.ofSeconds(30));
        Sidecar sidecar = Sidecar.builder(settings, vertx, loops, workers)
                .admission(PredictiveAdmission.builder(MonotonicClock.system())
                        .concurrency(cold(), plan.concurrency())
                        .memoryTokens(service.equals(SCRIBE) ? MEMORY_TOKENS : 0)
                        .build())
                .build();
        sidecars.add(sidecar);
        return sidecar.start()
                .thenRun(() -> listed.add(new ListedInstance(
                        self.instance(),
                        "sidecar",
                        self.zone(),
                        HOST,
                        sidecar.port(),
                        false,
                        Optional.of(service),
                        Optional.of(VERSION))));
    }

    private CompletableFuture<Void> startEntry(int number) {
        PeerIdentity self =
                new PeerIdentity(InstanceId.of("entry-" + number), System.nanoTime(), "entry", zone(number), "", "");
        EntrySettings settings = new EntrySettings(
                WireSettings.of(self),
                HOST,
                plan.port() == 0 ? 0 : plan.port() + number,
                EntrySettings.CallerLimits.usual(),
                Duration.ofSeconds(20),
                4);
        Configuration configuration = configuration();
        Entry entry = Entry.builder(settings, vertx, loops, workers)
                .configuration(() -> configuration)
                .instances(() -> CompletableFuture.completedFuture(List.copyOf(listed)))
                .build();
        entries.add(entry);
        return entry.start();
    }

    private int cold() {
        return Math.min(4, plan.concurrency());
    }

    private Configuration configuration() {
        Map<DocumentName, Document> documents = new HashMap<>();
        VersionCapacity engine = new VersionCapacity(cold(), plan.concurrency(), MEMORY_TOKENS);
        VersionCapacity ledger = new VersionCapacity(cold(), plan.concurrency(), 0);
        List<PlainRoute> routes = List.of(
                new PlainRoute(RouteName.of("lookup"), "GET", "/", true),
                new PlainRoute(RouteName.of("change"), "*", "/", false));
        List<Document> all = new ArrayList<>(List.of(
                new ServiceDocument(SCRIBE, ServiceKind.GENERATION, VERSION, Map.of(VERSION, engine), List.of()),
                new ServiceDocument(LEDGER, ServiceKind.PLAIN, VERSION, Map.of(VERSION, ledger), routes),
                new WorkspaceDocument(
                        WorkspaceName.of("quickstart"),
                        List.of(ApiKeyHash.of(API_KEY, "salt")),
                        Set.of(SCRIBE, LEDGER),
                        1.0,
                        100_000,
                        10_000_000)));
        for (int i = 0; i < plan.zones(); i++) {
            all.add(new ZoneDocument(zone(i), "local", true));
        }
        all.forEach(document -> documents.put(document.documentName(), document));
        return new Configuration(0, documents);
    }

    /** Completes once every entry has every sidecar in service. */
    public CompletableFuture<Void> connected() {
        CompletableFuture<Void> connected = new CompletableFuture<>();
        vertx.setPeriodic(10, timer -> {
            boolean all = entries.stream().allMatch(entry -> entry.sidecarsInService() >= sidecars.size());
            if (all) {
                vertx.cancelTimer(timer);
                connected.complete(null);
            }
        });
        return connected;
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return each(entries, grace)
                .thenCompose(done -> each(sidecars, grace))
                .thenCompose(done -> each(engines, grace))
                .thenCompose(done -> each(plains, grace))
                .thenCompose(done -> loops.stop(Duration.ofMillis(100)))
                .thenCompose(done -> vertx.close().toCompletionStage())
                .thenCompose(done -> workers.stop(grace));
    }

    private static CompletableFuture<Void> each(List<? extends ManagedService> services, Duration grace) {
        return CompletableFuture.allOf(
                services.stream().map(service -> service.stop(grace)).toArray(CompletableFuture[]::new));
    }
}

package coriandersill.relay.internal;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import coriandersill.catalog.CallLimits;
import coriandersill.catalog.Catalog;
import coriandersill.catalog.CatalogTable;
import coriandersill.connections.GuardedPort;
import coriandersill.connections.ProcessLimits;
import coriandersill.connections.RequestLimits;
import coriandersill.core.BodyMemory;
import coriandersill.core.MonotonicClock;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.relay.CallCodec;
import coriandersill.relay.EngineControl;
import coriandersill.relay.ExecutionListener;
import coriandersill.relay.OpenWork;
import coriandersill.relay.RelaySettings;
import coriandersill.rollout.OrderedRollouts;
import coriandersill.routing.EnginePaces;
import coriandersill.routing.HeldParts;
import coriandersill.routing.LeastExpectedCompletion;
import coriandersill.routing.LeastPromptBacklog;
import coriandersill.routing.Router;
import coriandersill.routing.SlowEngines;
import coriandersill.upstreams.ColdCallLimiter;
import coriandersill.upstreams.UpstreamTable;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/** Creates the components of a relay and controls their lifecycle. */
public final class RelayAssembly {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /**
     * The size of the kernel's buffer for a request, so that a large one that its upstream does not take is known not
     * to be written; the default takes megabytes at once.
     */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    /** Higher than the number of calls that an entry ever has open at one upstream, so that no call is queued. */
    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 2_000;

    /**
     * The cost of a generation in flight, in prompt tokens. It is high because an engine with many generations loses
     * some of them when it leaves.
     */
    private static final int GENERATION_COST_TOKENS = 1_000;

    /** The delay that a generation in flight adds to the time to first token, in prompt tokens. */
    private static final int GENERATION_STEP_COST_TOKENS = 100;

    /** The cost of a generation's traffic between zones, in prompt tokens. */
    private static final int OTHER_ZONE_COST_TOKENS = 300;

    /** The cost of copying a generation to another zone, which occupies the link twice as long, in prompt tokens. */
    private static final int OTHER_ZONE_MOVE_COST_TOKENS = 4_000;

    /** The age from which a load that a plain upstream stated is ignored; its calls end within a fraction of it. */
    private static final Duration CLAIMED_LOAD_LIFETIME = Duration.ofSeconds(1);

    /** The most that bodies, heads and unread responses may occupy, whatever the process may use. */
    private static final long MAX_BODY_MEMORY_BYTES = 36L << 20;

    /** Enough for the checks of several load balancers. */
    private static final int MAX_READINESS_CONNECTIONS = 64;

    private final RelayServer callServer;
    private final ReadinessServer readinessServer;
    private final LoadReader loadReader;
    private final UpstreamTable upstreams;
    private final MovePlanner movePlanner;
    private final OpenCalls openCalls;

    private RelayAssembly(
            RelayServer callServer,
            ReadinessServer readinessServer,
            LoadReader loadReader,
            UpstreamTable upstreams,
            MovePlanner movePlanner,
            OpenCalls openCalls) {
        this.callServer = callServer;
        this.readinessServer = readinessServer;
        this.loadReader = loadReader;
        this.upstreams = upstreams;
        this.movePlanner = movePlanner;
        this.openCalls = openCalls;
    }

    /** The dependencies of a relay. */
    public record Dependencies(
            Vertx vertx,
            RelaySettings settings,
            CatalogTable catalogs,
            UpstreamTable upstreams,
            CallCodec codec,
            EngineControl engineControl,
            WorkerPool workers,
            MonotonicClock clock,
            RandomGenerator random,
            DoubleSupplier ownShare,
            PromptQuarantine quarantine,
            OrderedRollouts rollouts,
            SlowEngines slowEngines,
            EnginePaces enginePaces,
            EventLog events,
            MetricRegistry metrics,
            Loops loops,
            ExecutionListener executions,
            ProcessLimits limits) {}

    /** Returns the components of a relay, not started. */
    public static RelayAssembly of(Dependencies dependencies) {
        MonotonicClock clock = dependencies.clock();
        RandomGenerator random = dependencies.random();
        Router engineRouter = createEngineRouter(clock, random);
        Router plainRouter = createPlainRouter(clock, random);
        ColdCallLimiter coldCallLimiter = ColdCallLimiter.create(clock);
        RelayMetrics metrics = new RelayMetrics(dependencies.metrics());
        GenerationDispatch dispatchQueue = new GenerationDispatch(clock, random, metrics, dependencies.events());
        HeldParts heldParts = HeldParts.create(clock);
        UpstreamSelector selector =
                createSelector(dependencies, engineRouter, plainRouter, coldCallLimiter, heldParts, metrics);
        RelayComponents components = createComponents(dependencies, selector, metrics, dispatchQueue, heldParts);
        MovePlanner movePlanner = new MovePlanner(components);
        dependencies
                .upstreams()
                .addListener(createDepartureListener(
                        dependencies, components, movePlanner, engineRouter, plainRouter, coldCallLimiter, heldParts));
        RelayServer callServer =
                new RelayServer(components, createCallerPort(dependencies, components), dependencies.loops());
        registerGauges(dependencies, callServer, components);
        WaitingGauges.register(dependencies.metrics(), dispatchQueue, clock);
        DispatchTimer dispatchTimer = new DispatchTimer(
                dependencies.vertx(), dispatchQueue::runDue, dispatchQueue::hasWaiting, dependencies.loops());
        dispatchQueue.onWaiting(dispatchTimer::wake);
        return new RelayAssembly(
                callServer,
                createReadinessServer(dependencies, callServer),
                components.loadReader(),
                dependencies.upstreams(),
                movePlanner,
                components.openCalls());
    }

    private static RelayComponents createComponents(
            Dependencies dependencies,
            UpstreamSelector selector,
            RelayMetrics metrics,
            DispatchQueue dispatchQueue,
            HeldParts heldParts) {
        Vertx vertx = dependencies.vertx();
        RelaySettings settings = dependencies.settings();
        MonotonicClock clock = dependencies.clock();
        RandomGenerator random = dependencies.random();
        GenerationTable generations = new GenerationTable();
        StatementObserver statements = createStatementObserver(dependencies, metrics);
        dependencies.engineControl().setStatementListener(statements::obey);
        LoadReader loadReader = createLoadReader(dependencies, selector, generations);
        ClaimedLoads claimedLoads = new ClaimedLoads(loadReader, selector, metrics, dependencies.events());
        return new RelayComponents(
                vertx,
                createClient(vertx),
                dependencies.workers(),
                settings,
                new CallPlanner(dependencies.catalogs(), settings.maxCatalogAge(), new WorkspaceBeforeRoute(), random),
                selector,
                loadReader,
                claimedLoads,
                statements,
                createCrashDetector(dependencies, metrics),
                dependencies.quarantine(),
                dependencies.rollouts(),
                dependencies.slowEngines(),
                dependencies.upstreams(),
                dependencies.codec(),
                dependencies.engineControl(),
                createRetryPolicies(dependencies),
                generations,
                new OpenCalls(clock),
                new BodyMemory(
                        Math.min(MAX_BODY_MEMORY_BYTES, dependencies.limits().sharedBytes())),
                metrics,
                clock,
                random,
                dependencies.events(),
                dispatchQueue,
                new UrgencyAndLateness(),
                new PromptPartLearning(heldParts),
                dependencies.executions());
    }

    private static DepartureListener createDepartureListener(
            Dependencies dependencies,
            RelayComponents components,
            MovePlanner movePlanner,
            Router engineRouter,
            Router plainRouter,
            ColdCallLimiter coldCallLimiter,
            HeldParts heldParts) {
        return new DepartureListener(
                components.generations(),
                movePlanner,
                engineRouter,
                plainRouter,
                coldCallLimiter,
                components.claimedLoads(),
                dependencies.slowEngines(),
                dependencies.enginePaces(),
                heldParts,
                dependencies.events());
    }

    private static Router createEngineRouter(MonotonicClock clock, RandomGenerator random) {
        return Router.builder(clock, random).build();
    }

    private static Router createPlainRouter(MonotonicClock clock, RandomGenerator random) {
        return Router.builder(clock, random)
                .reportLifetime(CLAIMED_LOAD_LIFETIME)
                .build();
    }

    private static GuardedPort createCallerPort(Dependencies dependencies, RelayComponents components) {
        return new GuardedPort(
                        "callers",
                        dependencies.limits().maxCallerConnections(),
                        () -> requestLimits(dependencies.catalogs()),
                        components.bodyMemory(),
                        dependencies.clock(),
                        dependencies.events())
                .relieve(components.bodyMemory())
                .register(dependencies.metrics());
    }

    private static RequestLimits requestLimits(CatalogTable catalogs) {
        CallLimits limits =
                catalogs.newest().map(Catalog::limits).orElse(CallLimits.ofBody(CallPlanner.DEFAULT_MAX_BODY_BYTES));
        return new RequestLimits(
                limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.headerTimeout(), limits.idleTimeout());
    }

    private static ReadinessServer createReadinessServer(Dependencies dependencies, RelayServer callServer) {
        return new ReadinessServer(
                dependencies.vertx(),
                dependencies.settings(),
                GuardedPort.internal(
                        "readiness",
                        dependencies.limits().maxInternalConnections(MAX_READINESS_CONNECTIONS),
                        dependencies.clock(),
                        dependencies.events(),
                        dependencies.metrics()),
                () -> dependencies.catalogs().newest().isPresent()
                        && dependencies.upstreams().isConfirmed()
                        && !callServer.stopping()
                        && dependencies.loops().stalledEssentialLoop().isEmpty());
    }

    private static StatementObserver createStatementObserver(Dependencies dependencies, RelayMetrics metrics) {
        return new StatementObserver(dependencies.upstreams(), metrics, dependencies.random(), dependencies.events());
    }

    private static RetryPolicies createRetryPolicies(Dependencies dependencies) {
        RelaySettings settings = dependencies.settings();
        return new RetryPolicies(
                settings.retryRatio(),
                () -> settings.retryBurst() * dependencies.ownShare().getAsDouble(),
                dependencies.random());
    }

    private static void registerGauges(Dependencies dependencies, RelayServer callServer, RelayComponents components) {
        Gauge<Integer> openCalls = callServer::openCalls;
        dependencies.metrics().register("relay.open", openCalls);
        Gauge<Long> bodyBytes = components.bodyMemory()::usedBytes;
        dependencies.metrics().register("relay.body_bytes", bodyBytes);
        Gauge<Long> memoryRefusals = components.bodyMemory()::refusals;
        dependencies.metrics().register("relay.memory_refusals", memoryRefusals);
        Gauge<Integer> slowEngineCount = dependencies.slowEngines()::count;
        dependencies.metrics().register("relay.slow_engines", slowEngineCount);
        Gauge<Integer> differingPaces = dependencies.enginePaces()::differingCount;
        dependencies.metrics().register("relay.differing_paces", differingPaces);
        Gauge<Integer> suspectParts = dependencies.quarantine()::suspectCount;
        dependencies.metrics().register("relay.quarantine.suspect_parts", suspectParts);
        Gauge<Integer> quarantinedParts =
                () -> dependencies.quarantine().verdicts().size();
        dependencies.metrics().register("relay.quarantine.parts", quarantinedParts);
    }

    private static LoadReader createLoadReader(
            Dependencies dependencies, UpstreamSelector selector, GenerationTable generations) {
        return new LoadReader(
                dependencies.vertx(),
                dependencies.engineControl(),
                dependencies.workers(),
                selector,
                dependencies.upstreams(),
                generations,
                dependencies.clock(),
                dependencies.events(),
                dependencies.loops());
    }

    private static CrashDetector createCrashDetector(Dependencies dependencies, RelayMetrics metrics) {
        return new CrashDetector(
                dependencies.vertx(),
                dependencies.engineControl(),
                dependencies.upstreams(),
                dependencies.quarantine(),
                dependencies.workers(),
                metrics,
                dependencies.events());
    }

    private static HttpClient createClient(Vertx vertx) {
        return vertx.createHttpClient(
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setTcpNoDelay(true)
                        .setSendBufferSize(SEND_BUFFER_BYTES)
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_UPSTREAM));
    }

    private static UpstreamSelector createSelector(
            Dependencies dependencies,
            Router engineRouter,
            Router plainRouter,
            ColdCallLimiter coldCallLimiter,
            HeldParts heldParts,
            RelayMetrics metrics) {
        RandomGenerator random = dependencies.random();
        PromptSavingRule savings = new StatedSavings(heldParts, metrics);
        CompletionPlacement.Costs costs = new CompletionPlacement.Costs(
                new LeastExpectedCompletion.Costs(GENERATION_COST_TOKENS, OTHER_ZONE_COST_TOKENS),
                new LeastExpectedCompletion.Costs(GENERATION_STEP_COST_TOKENS, OTHER_ZONE_COST_TOKENS),
                new LeastExpectedCompletion.Costs(GENERATION_COST_TOKENS, OTHER_ZONE_MOVE_COST_TOKENS),
                new LeastExpectedCompletion.Costs(GENERATION_COST_TOKENS, OTHER_ZONE_COST_TOKENS));
        PlacementPolicies evenPaces = new BacklogPlacement(
                backlogPolicy(costs.generation(), random),
                backlogPolicy(costs.prefillDominated(), random),
                backlogPolicy(costs.preferSameZone(), random),
                backlogPolicy(costs.anyZone(), random),
                savings);
        return new UpstreamSelector(
                dependencies.settings(),
                dependencies.upstreams(),
                engineRouter,
                new CompletionPlacement(evenPaces, costs, savings, dependencies.enginePaces(), random),
                plainRouter,
                coldCallLimiter,
                dependencies.ownShare(),
                dependencies.rollouts(),
                dependencies.slowEngines(),
                dependencies.enginePaces(),
                heldParts,
                random);
    }

    private static LeastPromptBacklog backlogPolicy(LeastExpectedCompletion.Costs costs, RandomGenerator random) {
        return LeastPromptBacklog.of(costs.callTokens(), costs.otherZoneTokens(), random.nextInt());
    }

    /** Returns the open calls of each service. */
    public Map<ServiceName, OpenWork> openWork() {
        return openCalls.work();
    }

    /** Starts listening. */
    public CompletableFuture<Void> start() {
        loadReader.start();
        return readinessServer.start().thenCompose(started -> callServer.start());
    }

    /** Moves running generations off the engines of a service that do not run {@code version}, within {@code time}. */
    public void moveToVersion(ServiceName service, VersionName version, Duration time) {
        upstreams.inService(service).stream()
                .filter(upstream -> !upstream.version().equals(version))
                .forEach(upstream -> movePlanner.planMoves(upstream, time));
    }

    /** Lets open calls end within {@code grace}, then stops listening. */
    public CompletableFuture<Void> stop(Duration grace) {
        return callServer.stop(grace).thenCompose(drained -> readinessServer.stop(grace));
    }
}

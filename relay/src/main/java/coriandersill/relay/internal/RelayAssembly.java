package coriandersill.relay.internal;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import coriandersill.catalog.CatalogTable;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import coriandersill.relay.CallCodec;
import coriandersill.relay.EngineControl;
import coriandersill.relay.RelaySettings;
import coriandersill.routing.LeastPromptBacklog;
import coriandersill.routing.Router;
import coriandersill.routing.RoutingPolicy;
import coriandersill.upstreams.ColdCallShare;
import coriandersill.upstreams.UpstreamTable;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/** Puts the parts of a relay together. */
public final class RelayAssembly {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** Above the most calls that an entry has open at one upstream. */
    private static final int MOST_CONNECTIONS = 2_000;

    /** What a generation in flight counts, in prompt tokens: engines with many lose some when they leave. */
    private static final int TOKENS_PER_GENERATION = 1_000;

    /** What a generation in flight adds to the wait for a first token, in prompt tokens. */
    private static final int TOKENS_PER_GENERATION_IN_A_STEP = 100;

    /** What the bytes of a generation between zones are worth, in prompt tokens of wait. */
    private static final int TOKENS_FOR_OTHER_ZONE = 300;

    /** What copying a generation to another zone costs, which takes twice the time of the link, in prompt tokens. */
    private static final int TOKENS_FOR_MOVE_TO_OTHER_ZONE = 4_000;

    private final RelayServer front;
    private final ReadinessServer ready;
    private final LoadReader loads;

    private RelayAssembly(RelayServer front, ReadinessServer ready, LoadReader loads) {
        this.front = front;
        this.ready = ready;
        this.loads = loads;
    }

    /** What a relay is given. */
    public record Dependencies(
            Vertx vertx,
            RelaySettings settings,
            CatalogTable catalogs,
            UpstreamTable upstreams,
            CallCodec codec,
            EngineControl engines,
            WorkerPool workers,
            MonotonicClock clock,
            RandomGenerator random,
            DoubleSupplier ownShare,
            EventLog events,
            MetricRegistry metrics) {}

    /** Returns a relay's parts, not started. */
    public static RelayAssembly of(Dependencies inputs) {
        Vertx vertx = inputs.vertx();
        RelaySettings settings = inputs.settings();
        MonotonicClock clock = inputs.clock();
        RandomGenerator random = inputs.random();
        HttpClient client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setTcpNoDelay(true)
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS));
        Router engineRouter = Router.builder(clock, random)
                .policy(LeastPromptBacklog.of(TOKENS_PER_GENERATION, TOKENS_FOR_OTHER_ZONE, random.nextInt()))
                .build();
        Router plainRouter = Router.builder(clock, random).build();
        ColdCallShare coldCalls = ColdCallShare.create(clock);
        GenerationTable generations = new GenerationTable();
        UpstreamSelector choice = choice(inputs, engineRouter, plainRouter, coldCalls);
        LoadReader loads = new LoadReader(
                vertx,
                inputs.engines(),
                inputs.workers(),
                choice,
                inputs.upstreams(),
                generations,
                clock,
                inputs.events());
        RelayComponents parts = new RelayComponents(
                vertx,
                client,
                inputs.workers(),
                settings,
                new CallPlanner(inputs.catalogs(), settings.maxCatalogAge(), random),
                choice,
                loads,
                inputs.upstreams(),
                inputs.codec(),
                inputs.engines(),
                new RetryPolicies(
                        settings.retryRatio(),
                        () -> settings.retryBurst() * inputs.ownShare().getAsDouble(),
                        random),
                generations,
                new RelayMetrics(inputs.metrics()),
                clock,
                random,
                inputs.events());
        inputs.upstreams()
                .listen(new DepartureListener(
                        generations, new MovePlanner(parts), engineRouter, plainRouter, coldCalls, inputs.events()));
        RelayServer front = new RelayServer(parts);
        Gauge<Integer> open = front::open;
        inputs.metrics().register("relay.open", open);
        ReadinessServer ready = new ReadinessServer(
                vertx, settings, () -> inputs.catalogs().newest().isPresent() && !front.stopping());
        return new RelayAssembly(front, ready, loads);
    }

    private static UpstreamSelector choice(
            Dependencies inputs, Router engineRouter, Router plainRouter, ColdCallShare coldCalls) {
        RandomGenerator random = inputs.random();
        RoutingPolicy soonest =
                LeastPromptBacklog.of(TOKENS_PER_GENERATION_IN_A_STEP, TOKENS_FOR_OTHER_ZONE, random.nextInt());
        RoutingPolicy targetsNear =
                LeastPromptBacklog.of(TOKENS_PER_GENERATION, TOKENS_FOR_MOVE_TO_OTHER_ZONE, random.nextInt());
        RoutingPolicy targetsAnywhere =
                LeastPromptBacklog.of(TOKENS_PER_GENERATION, TOKENS_FOR_OTHER_ZONE, random.nextInt());
        return new UpstreamSelector(
                inputs.settings(),
                inputs.upstreams(),
                engineRouter,
                new UpstreamSelector.EnginePolicies(soonest, targetsNear, targetsAnywhere),
                plainRouter,
                coldCalls,
                inputs.ownShare(),
                random);
    }

    /** Starts listening. */
    public CompletableFuture<Void> start() {
        loads.start();
        return ready.start().thenCompose(started -> front.start());
    }

    /** Lets calls end within {@code grace}, then stops listening. */
    public CompletableFuture<Void> stop(Duration grace) {
        return front.stop(grace).thenCompose(drained -> ready.stop(grace));
    }
}

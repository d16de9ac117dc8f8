package coriandersill.relay;

import com.codahale.metrics.MetricRegistry;
import coriandersill.catalog.CatalogTable;
import coriandersill.connections.ProcessLimits;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.relay.internal.RelayAssembly;
import coriandersill.rollout.OrderedRollouts;
import coriandersill.routing.EnginePaceExchange;
import coriandersill.routing.EnginePaces;
import coriandersill.routing.SlowEngines;
import coriandersill.upstreams.UpstreamTable;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/**
 * Forwards callers' requests to upstreams directly, without a sidecar in between.
 *
 * <pre>{@code
 * Relay relay = Relay.builder(vertx, settings)
 *         .tables(catalogs, upstreams)
 *         .codec(codec)
 *         .engineControl(engineControl)
 *         .workers(workers)
 *         .clockAndRandom(MonotonicClock.system(), random)
 *         .build();
 * relay.start();
 * }</pre>
 *
 * <p>It accepts connections as soon as it is started and reports ready once the first catalog is available and the
 * listings of upstreams were confirmed. A stop lets open calls complete within the given grace period.
 */
public final class Relay implements ManagedService {
    private final RelayAssembly assembly;

    private Relay(RelayAssembly assembly) {
        this.assembly = assembly;
    }

    /**
     * Returns a builder.
     *
     * @throws NullPointerException if an argument is null
     */
    public static Builder builder(Vertx vertx, RelaySettings settings) {
        return new Builder(Objects.requireNonNull(vertx, "vertx"), Objects.requireNonNull(settings, "settings"));
    }

    @Override
    public CompletableFuture<Void> start() {
        return assembly.start();
    }

    /** Moves running generations off the engines of a service that do not run {@code version}, within {@code time}. */
    public void moveToVersion(ServiceName service, VersionName version, Duration time) {
        assembly.moveToVersion(service, version, time);
    }

    /** Returns the calls of each service that have started and not ended; may be called from any thread. */
    public Map<ServiceName, OpenWork> openWork() {
        return assembly.openWork();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return assembly.stop(grace);
    }

    /**
     * Builds a relay; all its methods must be called except {@code ownShare}, {@code rollouts}, {@code observers},
     * {@code loops}, {@code executions} and {@code processLimits}.
     */
    public static final class Builder {
        private final Vertx vertx;
        private final RelaySettings settings;
        private CatalogTable catalogs;
        private UpstreamTable upstreams;
        private CallCodec codec;
        private EngineControl engineControl;
        private WorkerPool workers;
        private MonotonicClock clock = MonotonicClock.system();
        private RandomGenerator random;
        private DoubleSupplier ownShare = () -> 1;
        private PromptQuarantine quarantine;
        private OrderedRollouts rollouts = OrderedRollouts.create();
        private SlowEngines slowEngines;
        private EnginePaces enginePaces;
        private EventLog events = EventLog.none();
        private MetricRegistry metrics = new MetricRegistry();
        private Loops loops = Loops.unobserved();
        private ExecutionListener executions = ExecutionListener.NONE;
        private ProcessLimits limits = ProcessLimits.of(OptionalLong.empty(), OptionalInt.empty());

        private Builder(Vertx vertx, RelaySettings settings) {
            this.vertx = vertx;
            this.settings = settings;
        }

        /** Sets the table of the declared configuration and the table of listed upstreams. */
        public Builder tables(CatalogTable declared, UpstreamTable listed) {
            catalogs = Objects.requireNonNull(declared, "declared");
            upstreams = Objects.requireNonNull(listed, "listed");
            return this;
        }

        /** Sets the codec for request and response headers. */
        public Builder codec(CallCodec value) {
            codec = Objects.requireNonNull(value, "codec");
            return this;
        }

        /** Sets the client for control requests to engines. */
        public Builder engineControl(EngineControl value) {
            engineControl = Objects.requireNonNull(value, "engineControl");
            return this;
        }

        /** Sets the worker pool on which decisions over shared tables run. */
        public Builder workers(WorkerPool value) {
            workers = Objects.requireNonNull(value, "workers");
            return this;
        }

        /** Sets the clock and the random number generator. */
        public Builder clockAndRandom(MonotonicClock time, RandomGenerator source) {
            clock = Objects.requireNonNull(time, "time");
            random = Objects.requireNonNull(source, "source");
            return this;
        }

        /** Sets this entry's share, from 0 to 1, of the limits that all entries share; 1 by default. */
        public Builder ownShare(DoubleSupplier value) {
            ownShare = Objects.requireNonNull(value, "ownShare");
            return this;
        }

        /** Sets the quarantine of prompt parts that crash engines. */
        public Builder quarantine(PromptQuarantine value) {
            quarantine = Objects.requireNonNull(value, "quarantine");
            return this;
        }

        /** Sets the rollouts that split calls between versions; none by default. */
        public Builder rollouts(OrderedRollouts value) {
            rollouts = Objects.requireNonNull(value, "rollouts");
            return this;
        }

        /** Sets the table of slow engines that all entries share. */
        public Builder slowEngines(SlowEngines value) {
            slowEngines = Objects.requireNonNull(value, "slowEngines");
            return this;
        }

        /** Sets the table of the paces of upstreams; by default one that no other entry shares. */
        public Builder enginePaces(EnginePaces value) {
            enginePaces = Objects.requireNonNull(value, "enginePaces");
            return this;
        }

        private EnginePaces enginePaces() {
            return enginePaces == null
                    ? EnginePaces.create(InstanceId.of("self"), clock, random, EnginePaceExchange.NONE)
                    : enginePaces;
        }

        /** Sets the event log and the metric registry. */
        public Builder observers(EventLog log, MetricRegistry registry) {
            events = Objects.requireNonNull(log, "log");
            metrics = Objects.requireNonNull(registry, "registry");
            return this;
        }

        /** Sets the registry of the process's loops; the relay reports ready only while no essential one is stalled. */
        public Builder loops(Loops value) {
            loops = Objects.requireNonNull(value, "loops");
            return this;
        }

        /** Sets the listener that learns of requests that upstreams begin; none by default. */
        public Builder executions(ExecutionListener value) {
            executions = Objects.requireNonNull(value, "executions");
            return this;
        }

        /** Sets what the process may use; by default what the operating system states. */
        public Builder processLimits(ProcessLimits value) {
            limits = Objects.requireNonNull(value, "limits");
            return this;
        }

        /** Returns the relay. */
        public Relay build() {
            return new Relay(RelayAssembly.of(new RelayAssembly.Dependencies(
                    vertx,
                    settings,
                    catalogs,
                    upstreams,
                    codec,
                    engineControl,
                    workers,
                    clock,
                    random,
                    ownShare,
                    quarantine,
                    rollouts,
                    slowEngines,
                    enginePaces(),
                    events,
                    metrics,
                    loops,
                    executions,
                    limits)));
        }
    }
}

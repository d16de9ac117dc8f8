package coriandersill.entry;

import com.codahale.metrics.MetricRegistry;
import coriandersill.configuration.Configuration;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.entry.internal.EntryComponents;
import coriandersill.entry.internal.EntryContext;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
import coriandersill.membership.ConnectionPlan;
import coriandersill.membership.ConnectionPlanSettings;
import coriandersill.membership.MembershipSettings;
import coriandersill.membership.MembershipTable;
import coriandersill.membership.RegionResolver;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.quarantine.QuarantineExchange;
import coriandersill.quarantine.QuarantineObserver;
import coriandersill.quota.LocalQuota;
import coriandersill.quota.WorkspaceQuota;
import coriandersill.routing.BudgetedRetry;
import coriandersill.routing.RetryBudget;
import coriandersill.routing.RetryPolicy;
import coriandersill.routing.Router;
import coriandersill.routing.RouterBuilder;
import coriandersill.routing.RoutingPolicy;
import coriandersill.sharedlog.InstanceList;
import coriandersill.wire.Message;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * An entry: serves callers over HTTP behind the platform's load balancer and forwards their calls to sidecars.
 *
 * <pre>{@code
 * Entry entry = Entry.builder(settings, vertx, loops, workers)
 *         .configuration(table::current)
 *         .instances(instanceList)
 *         .build();
 * entry.start().join();
 * }</pre>
 *
 * <p>Thread-safe. Does not own the given Vert.x instance, event loops or workers, and does not stop them.
 */
public final class Entry implements ManagedService {
    private final EntryComponents components;

    private Entry(Builder builder) {
        EntryContext context = new EntryContext(
                builder.settings,
                builder.vertx,
                builder.workers,
                Objects.requireNonNull(builder.configuration, "configuration"),
                builder.configurationPosition(),
                builder.versionSelector,
                builder.retryPolicy(),
                builder.quota,
                builder.quarantine(),
                builder.observer,
                builder.clock,
                builder.random,
                builder.events,
                builder.metrics,
                builder.loopRegistry);
        this.components = EntryComponents.create(
                context,
                builder.loops,
                Objects.requireNonNull(builder.instances, "instances"),
                MembershipTable.of(builder.membership, builder.clock),
                ConnectionPlan.of(builder.connectionPlan, builder.regions()),
                builder.router(),
                builder.idempotencyClaims,
                builder.peerListener);
    }

    /** Returns a builder; the Vert.x instance, event loops and workers may be shared with the rest of the process. */
    public static Builder builder(EntrySettings settings, Vertx vertx, WireEventLoops loops, WorkerPool workers) {
        return new Builder(settings, vertx, loops, workers);
    }

    /** Returns the port of the HTTP listener; only valid after {@link #start}. */
    public int port() {
        return components.port();
    }

    /** Returns the number of sidecars that calls may be sent to. */
    public int sidecarsInService() {
        return components.sidecarsInService();
    }

    /** Returns the number of open calls. */
    public int openCalls() {
        return components.openCalls();
    }

    /** Returns why the entry is not ready, or null if it is ready. */
    public String notReadyReason() {
        return components.notReadyReason();
    }

    /** Applies a new configuration; to be called after the configuration supplier's value has changed. */
    public void configurationChanged() {
        components.configurationChanged();
    }

    /** Returns the port of the wire listener for other entries; only valid after {@link #start}. */
    public int peerPort() {
        return components.peerPort();
    }

    /** Returns the entries in the instance list, including this one, sorted by name. */
    public List<InstanceId> entries() {
        return components.entries();
    }

    /** Sends a message to another entry if it is connected; returns whether it was connected. */
    public boolean sendTo(InstanceId instance, Message message) {
        return components.sendTo(instance, message);
    }

    /** Sends a message to every connected sidecar and entry, for example a rollout verdict. */
    public void broadcast(Message message) {
        components.broadcast(message);
    }

    @Override
    public CompletableFuture<Void> start() {
        return components.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return components.stop(grace);
    }

    /** Builds an {@link Entry}; the configuration and the instances are required. */
    public static final class Builder {
        private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;
        /** Retries that are allowed in addition to {@link #RETRIES_PER_FIRST_ATTEMPT}. */
        private static final int RETRY_BURST = 50;

        private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(10);
        private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

        private final EntrySettings settings;
        private final Vertx vertx;
        private final WireEventLoops loops;
        private final WorkerPool workers;
        private Supplier<Configuration> configuration;
        private Optional<LongSupplier> configurationPosition = Optional.empty();
        private InstanceList instances;
        private VersionSelector versionSelector = VersionSelector.current();
        private MembershipSettings membership = MembershipSettings.standard();
        private ConnectionPlanSettings connectionPlan = ConnectionPlanSettings.standard();
        private Optional<RoutingPolicy> routingPolicy = Optional.empty();
        private WorkspaceQuota quota = LocalQuota.create(MonotonicClock.system());
        private Optional<PromptQuarantine> quarantine = Optional.empty();
        private AttemptObserver observer = AttemptObserver.none();
        private IdempotencyClaims idempotencyClaims = IdempotencyClaims.unavailable();
        private MonotonicClock clock = MonotonicClock.system();
        private RandomGenerator random = new SecureRandom();
        private EventLog events = EventLog.none();
        private MetricRegistry metrics = new MetricRegistry();
        private Loops loopRegistry = Loops.unobserved();
        private Optional<WireListener> peerListener = Optional.empty();

        private Builder(EntrySettings settings, Vertx vertx, WireEventLoops loops, WorkerPool workers) {
            this.settings = Objects.requireNonNull(settings, "settings");
            this.vertx = Objects.requireNonNull(vertx, "vertx");
            this.loops = Objects.requireNonNull(loops, "loops");
            this.workers = Objects.requireNonNull(workers, "workers");
        }

        /** Sets the supplier of the accepted configuration. */
        public Builder configuration(Supplier<Configuration> value) {
            configuration = Objects.requireNonNull(value, "configuration");
            return this;
        }

        /**
         * Sets the source of the configuration position in pings; by default, the position of the accepted
         * configuration.
         */
        public Builder configurationPosition(LongSupplier value) {
            configurationPosition = Optional.of(value);
            return this;
        }

        /** Sets the instance list. */
        public Builder instances(InstanceList value) {
            instances = Objects.requireNonNull(value, "instances");
            return this;
        }

        /** Sets the selector of service versions. */
        public Builder versionSelector(VersionSelector value) {
            versionSelector = Objects.requireNonNull(value, "versionSelector");
            return this;
        }

        /** Sets the policy by which upstreams are selected. */
        public Builder routingPolicy(RoutingPolicy value) {
            routingPolicy = Optional.of(value);
            return this;
        }

        /** Sets the thresholds by which the states of instances are determined. */
        public Builder membership(MembershipSettings value) {
            membership = Objects.requireNonNull(value, "membership");
            return this;
        }

        /** Sets how many sidecars and other entries the entry connects to. */
        public Builder connectionPlan(ConnectionPlanSettings value) {
            connectionPlan = Objects.requireNonNull(value, "connectionPlan");
            return this;
        }

        /** Sets the quota that limits the calls and tokens of each workspace. */
        public Builder quota(WorkspaceQuota value) {
            quota = Objects.requireNonNull(value, "quota");
            return this;
        }

        /** Sets the quarantine of prompt parts that crash upstreams; by default the entry learns from its own calls. */
        public Builder quarantine(PromptQuarantine value) {
            quarantine = Optional.of(value);
            return this;
        }

        private PromptQuarantine quarantine() {
            return quarantine.orElseGet(() -> PromptQuarantine.create(
                    clock, settings.wire().self().instance(), QuarantineExchange.none(), QuarantineObserver.none()));
        }

        /** Sets the observer of attempts. */
        public Builder observer(AttemptObserver value) {
            observer = Objects.requireNonNull(value, "observer");
            return this;
        }

        /** Sets the claims of idempotency keys for non-idempotent calls. */
        public Builder idempotencyClaims(IdempotencyClaims value) {
            idempotencyClaims = Objects.requireNonNull(value, "idempotencyClaims");
            return this;
        }

        /** Sets the clock. */
        public Builder clock(MonotonicClock value) {
            clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /** Sets the source of randomness, which must be thread-safe. */
        public Builder random(RandomGenerator value) {
            random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** Sets the event log. */
        public Builder events(EventLog value) {
            events = Objects.requireNonNull(value, "events");
            return this;
        }

        /** Sets the registry of the process's loops. */
        public Builder loopRegistry(Loops value) {
            loopRegistry = Objects.requireNonNull(value, "loopRegistry");
            return this;
        }

        /** Sets the metric registry. */
        public Builder metrics(MetricRegistry value) {
            metrics = Objects.requireNonNull(value, "metrics");
            return this;
        }

        /** Sets the listener for connections and for messages that do not concern a call. */
        public Builder peerListener(WireListener value) {
            peerListener = Optional.of(value);
            return this;
        }

        /** Returns a resolver that takes a zone's region from its document, or else from the prefix of its name. */
        private RegionResolver regions() {
            return zone -> configuration
                    .get()
                    .zone(zone)
                    .map(ZoneDocument::region)
                    .orElseGet(() -> RegionResolver.byPrefix().regionOf(zone));
        }

        private LongSupplier configurationPosition() {
            return configurationPosition.orElse(() -> configuration.get().position());
        }

        private Router router() {
            RouterBuilder router = Router.builder(clock, random);
            routingPolicy.ifPresent(router::policy);
            return router.build();
        }

        private RetryPolicy retryPolicy() {
            return BudgetedRetry.of(
                    RetryBudget.of(RETRIES_PER_FIRST_ATTEMPT, RETRY_BURST),
                    settings.maxAttempts(),
                    INITIAL_RETRY_DELAY,
                    MAX_RETRY_DELAY,
                    random);
        }

        /** Returns the entry; throws {@link NullPointerException} if the configuration or the instances are not set. */
        public Entry build() {
            return new Entry(this);
        }
    }
}

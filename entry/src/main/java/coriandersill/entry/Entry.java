package coriandersill.entry;

import com.codahale.metrics.MetricRegistry;
import coriandersill.configuration.Configuration;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.entry.internal.EntryContext;
import coriandersill.entry.internal.EntryParts;
import coriandersill.events.EventLog;
import coriandersill.membership.ConnectionPlan;
import coriandersill.membership.ConnectionPlanSettings;
import coriandersill.membership.MembershipSettings;
import coriandersill.membership.MembershipTable;
import coriandersill.membership.RegionResolver;
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
 * The process behind the platform's balancer.
 *
 * <pre>{@code
 * Entry entry = Entry.builder(settings, vertx, loops, workers)
 *         .configuration(table::current)
 *         .instances(instanceList)
 *         .build();
 * entry.start().join();
 * }</pre>
 *
 * <p>Safe for use by many threads. It does not own the Vert.x instance, the loops or the workers it is given.
 */
public final class Entry implements ManagedService {
    private final EntryParts parts;

    private Entry(Builder builder) {
        EntryContext context = new EntryContext(
                builder.settings,
                builder.vertx,
                builder.workers,
                Objects.requireNonNull(builder.configuration, "configuration"),
                builder.position(),
                builder.versions,
                builder.retries(),
                builder.quota,
                builder.observer,
                builder.clock,
                builder.random,
                builder.events,
                builder.metrics);
        this.parts = EntryParts.create(
                context,
                builder.loops,
                Objects.requireNonNull(builder.instances, "instances"),
                MembershipTable.of(builder.membership, builder.clock),
                ConnectionPlan.of(builder.connections, builder.regions()),
                builder.router(),
                builder.onceOnly,
                builder.peerMessages);
    }

    /** Returns a builder; the Vert.x instance, loops and workers are shared with other parts of the process. */
    public static Builder builder(EntrySettings settings, Vertx vertx, WireEventLoops loops, WorkerPool workers) {
        return new Builder(settings, vertx, loops, workers);
    }

    /** The port of the HTTP listener, once started. */
    public int port() {
        return parts.port();
    }

    /** How many sidecars a call may go to. */
    public int sidecarsInService() {
        return parts.sidecarsInService();
    }

    /** How many calls are open. */
    public int openCalls() {
        return parts.openCalls();
    }

    /** Why the entry is not ready, or null when it is. */
    public String unready() {
        return parts.unready();
    }

    /** Takes a new configuration into account at once; to be called after the source of configuration has changed. */
    public void configurationChanged() {
        parts.configurationChanged();
    }

    /** The port of the wire listener for other entries, once started. */
    public int peerPort() {
        return parts.peerPort();
    }

    /** The entries that are in the list of instances, this one included, in order of name. */
    public List<InstanceId> entries() {
        return parts.entries();
    }

    /** Sends a message to another entry if it is connected; returns whether it was. */
    public boolean sendTo(InstanceId instance, Message message) {
        return parts.sendTo(instance, message);
    }

    /** Sends a message to every connected sidecar, for example a rollout verdict. */
    public void broadcast(Message message) {
        parts.broadcast(message);
    }

    @Override
    public CompletableFuture<Void> start() {
        return parts.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return parts.stop(grace);
    }

    /** Collects the parts of an {@link QueuedRecord}; configuration and instances are required. */
    public static final class Builder {
        private static final double RETRY_RATIO = 0.2;
        private static final int RETRY_BURST = 50;
        private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(10);
        private static final Duration LONGEST_RETRY_DELAY = Duration.ofMillis(500);

        private final EntrySettings settings;
        private final Vertx vertx;
        private final WireEventLoops loops;
        private final WorkerPool workers;
        private Supplier<Configuration> configuration;
        private Optional<LongSupplier> position = Optional.empty();
        private InstanceList instances;
        private VersionChoice versions = VersionChoice.current();
        private MembershipSettings membership = MembershipSettings.standard();
        private ConnectionPlanSettings connections = ConnectionPlanSettings.standard();
        private Optional<RoutingPolicy> routing = Optional.empty();
        private WorkspaceQuota quota = LocalQuota.create(MonotonicClock.system());
        private CallObserver observer = CallObserver.none();
        private OnceOnlyCalls onceOnly = OnceOnlyCalls.unavailable();
        private MonotonicClock clock = MonotonicClock.system();
        private RandomGenerator random = new SecureRandom();
        private EventLog events = EventLog.none();
        private MetricRegistry metrics = new MetricRegistry();
        private Optional<WireListener> peerMessages = Optional.empty();

        private Builder(EntrySettings settings, Vertx vertx, WireEventLoops loops, WorkerPool workers) {
            this.settings = Objects.requireNonNull(settings, "settings");
            this.vertx = Objects.requireNonNull(vertx, "vertx");
            this.loops = Objects.requireNonNull(loops, "loops");
            this.workers = Objects.requireNonNull(workers, "workers");
        }

        /** Sets where the accepted configuration is read. */
        public Builder configuration(Supplier<Configuration> other) {
            configuration = Objects.requireNonNull(other, "configuration");
            return this;
        }

        /** Sets what pings say of the configuration; the configuration's offset unless set. */
        public Builder position(LongSupplier other) {
            position = Optional.of(other);
            return this;
        }

        /** Sets the list of instances. */
        public Builder instances(InstanceList other) {
            instances = Objects.requireNonNull(other, "instances");
            return this;
        }

        /** Sets how versions are chosen. */
        public Builder versions(VersionChoice other) {
            versions = Objects.requireNonNull(other, "versions");
            return this;
        }

        /** Sets how upstreams are chosen. */
        public Builder routing(RoutingPolicy other) {
            routing = Optional.of(other);
            return this;
        }

        /** Sets the limits by which instances are judged live. */
        public Builder membership(MembershipSettings other) {
            membership = Objects.requireNonNull(other, "membership");
            return this;
        }

        /** Sets how many sidecars the entry connects to. */
        public Builder connections(ConnectionPlanSettings other) {
            connections = Objects.requireNonNull(other, "connections");
            return this;
        }

        /** Sets who holds workspaces to their caps. */
        public Builder quota(WorkspaceQuota other) {
            quota = Objects.requireNonNull(other, "quota");
            return this;
        }

        /** Sets who hears how attempts went. */
        public Builder observer(CallObserver other) {
            observer = Objects.requireNonNull(other, "observer");
            return this;
        }

        /** Sets who decides about calls that may not be repeated. */
        public Builder onceOnly(OnceOnlyCalls other) {
            onceOnly = Objects.requireNonNull(other, "onceOnly");
            return this;
        }

        /** Sets the clock. */
        public Builder clock(MonotonicClock other) {
            clock = Objects.requireNonNull(other, "clock");
            return this;
        }

        /** Sets the source of randomness; it must be safe for use by many threads. */
        public Builder random(RandomGenerator other) {
            random = Objects.requireNonNull(other, "random");
            return this;
        }

        /** Sets the event log. */
        public Builder events(EventLog other) {
            events = Objects.requireNonNull(other, "events");
            return this;
        }

        /** Sets the metrics. */
        public Builder metrics(MetricRegistry other) {
            metrics = Objects.requireNonNull(other, "metrics");
            return this;
        }

        /** Sets who hears of connections and of messages that are not about calls. */
        public Builder peerMessages(WireListener other) {
            peerMessages = Optional.of(other);
            return this;
        }

        /** The region of a zone by its document; by its name while there is none. */
        private RegionResolver regions() {
            return zone -> configuration
                    .get()
                    .zone(zone)
                    .map(ZoneDocument::region)
                    .orElseGet(() -> RegionResolver.byPrefix().regionOf(zone));
        }

        private LongSupplier position() {
            return position.orElse(() -> configuration.get().position());
        }

        private Router router() {
            RouterBuilder router = Router.builder(clock, random);
            routing.ifPresent(router::policy);
            return router.build();
        }

        private RetryPolicy retries() {
            return BudgetedRetry.of(
                    RetryBudget.of(RETRY_RATIO, RETRY_BURST),
                    settings.mostAttempts(),
                    FIRST_RETRY_DELAY,
                    LONGEST_RETRY_DELAY,
                    random);
        }

        /** Returns the entry; throws {@link NullPointerException} without configuration or instances. */
        public Entry build() {
            return new Entry(this);
        }
    }
}

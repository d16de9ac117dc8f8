package coriandersill.entry;

import com.codahale.metrics.MetricRegistry;
import coriandersill.configuration.Configuration;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.entry.internal.EntryContext;
import coriandersill.entry.internal.EntryParts;
import coriandersill.events.EventLog;
import coriandersill.platform.InstanceList;
import coriandersill.routing.LeastInFlight;
import coriandersill.routing.RoutingPolicy;
import coriandersill.wire.Message;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireLoops;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
                builder.versions,
                builder.clock,
                builder.random,
                builder.events,
                builder.metrics);
        this.parts = EntryParts.create(
                context,
                builder.loops,
                Objects.requireNonNull(builder.instances, "instances"),
                builder.routing,
                builder.onceOnly,
                builder.peerMessages);
    }

    /** Returns a builder; the Vert.x instance, loops and workers are shared with other parts of the process. */
    public static Builder builder(EntrySettings settings, Vertx vertx, WireLoops loops, WorkerPool workers) {
        return new Builder(settings, vertx, loops, workers);
    }

    /** The port of the HTTP listener, once started. */
    public int port() {
        return parts.port();
    }

    /** How many sidecars are connected. */
    public int connectedSidecars() {
        return parts.connectedSidecars();
    }

    /** How many calls are open. */
    public int openCalls() {
        return parts.openCalls();
    }

    /** Why the entry is not ready, or null when it is. */
    public String unready() {
        return parts.unready();
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

    /** Collects the parts of an {@link Entry}; configuration and instances are required. */
    public static final class Builder {
        private final EntrySettings settings;
        private final Vertx vertx;
        private final WireLoops loops;
        private final WorkerPool workers;
        private Supplier<Configuration> configuration;
        private InstanceList instances;
        private VersionChoice versions = VersionChoice.current();
        private RoutingPolicy routing = LeastInFlight.create();
        private OnceOnlyCalls onceOnly = OnceOnlyCalls.unavailable();
        private MonotonicClock clock = MonotonicClock.system();
        private RandomGenerator random = new SecureRandom();
        private EventLog events = EventLog.none();
        private MetricRegistry metrics = new MetricRegistry();
        private Optional<WireListener> peerMessages = Optional.empty();

        private Builder(EntrySettings settings, Vertx vertx, WireLoops loops, WorkerPool workers) {
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
            routing = Objects.requireNonNull(other, "routing");
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

        /** Returns the entry; throws {@link NullPointerException} without configuration or instances. */
        public Entry build() {
            return new Entry(this);
        }
    }
}

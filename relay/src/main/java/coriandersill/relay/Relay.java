package coriandersill.relay;

import com.codahale.metrics.MetricRegistry;
import coriandersill.catalog.CatalogTable;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import coriandersill.relay.internal.RelayAssembly;
import coriandersill.upstreams.UpstreamTable;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/**
 * Carries callers' requests to upstreams without a sidecar in between.
 *
 * <pre>{@code
 * Relay relay = Relay.builder(vertx, settings).tables(catalogs, upstreams).codec(codec).engines(engines).build();
 * relay.start();
 * }</pre>
 *
 * <p>It listens for callers at once and says that it is ready when the first catalog is known. A stop lets calls end
 * within the grace given.
 */
public final class Relay implements ManagedService {
    private final RelayAssembly assembly;

    private Relay(RelayAssembly assembly) {
        this.assembly = assembly;
    }

    /** Returns a builder; null is refused. */
    public static Builder builder(Vertx vertx, RelaySettings settings) {
        return new Builder(Objects.requireNonNull(vertx, "vertx"), Objects.requireNonNull(settings, "settings"));
    }

    @Override
    public CompletableFuture<Void> start() {
        return assembly.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return assembly.stop(grace);
    }

    /** Sets the parts of a relay; all are needed but the events and the metrics. */
    public static final class Builder {
        private final Vertx vertx;
        private final RelaySettings settings;
        private CatalogTable catalogs;
        private UpstreamTable upstreams;
        private CallCodec codec;
        private EngineControl engines;
        private WorkerPool workers;
        private MonotonicClock clock = MonotonicClock.system();
        private RandomGenerator random;
        private DoubleSupplier ownShare = () -> 1;
        private EventLog events = EventLog.none();
        private MetricRegistry metrics = new MetricRegistry();

        private Builder(Vertx vertx, RelaySettings settings) {
            this.vertx = vertx;
            this.settings = settings;
        }

        /** Sets the tables of what operators declare and of what is listed. */
        public Builder tables(CatalogTable declared, UpstreamTable listed) {
            catalogs = Objects.requireNonNull(declared, "declared");
            upstreams = Objects.requireNonNull(listed, "listed");
            return this;
        }

        /** Sets the translation of headers. */
        public Builder codec(CallCodec value) {
            codec = Objects.requireNonNull(value, "codec");
            return this;
        }

        /** Sets the way to engines. */
        public Builder engines(EngineControl value) {
            engines = Objects.requireNonNull(value, "engines");
            return this;
        }

        /** Sets the workers that take decisions. */
        public Builder workers(WorkerPool value) {
            workers = Objects.requireNonNull(value, "workers");
            return this;
        }

        /** Sets the clock and the source of chance. */
        public Builder clockAndRandom(MonotonicClock time, RandomGenerator source) {
            clock = Objects.requireNonNull(time, "time");
            random = Objects.requireNonNull(source, "source");
            return this;
        }

        /** Sets the entry's part, from 0 to 1, of what all entries may do together; alone by default. */
        public Builder ownShare(DoubleSupplier value) {
            ownShare = Objects.requireNonNull(value, "ownShare");
            return this;
        }

        /** Sets where events and metrics go. */
        public Builder observers(EventLog log, MetricRegistry registry) {
            events = Objects.requireNonNull(log, "log");
            metrics = Objects.requireNonNull(registry, "registry");
            return this;
        }

        /** Returns the relay. */
        public Relay build() {
            return new Relay(RelayAssembly.of(new RelayAssembly.Dependencies(
                    vertx, settings, catalogs, upstreams, codec, engines, workers, clock, random, ownShare, events,
                    metrics)));
        }
    }
}

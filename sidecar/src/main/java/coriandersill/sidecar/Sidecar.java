package coriandersill.sidecar;

import com.codahale.metrics.MetricRegistry;
import coriandersill.admission.AdmissionController;
import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.UpstreamLoad;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.sidecar.internal.CallDispatcher;
import coriandersill.sidecar.internal.CallTable;
import coriandersill.sidecar.internal.SidecarContext;
import coriandersill.sidecar.internal.SidecarListener;
import coriandersill.sidecar.internal.UpstreamClient;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireLoops;
import coriandersill.wire.WireServer;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The process beside one upstream.
 *
 * <pre>{@code
 * Sidecar sidecar = Sidecar.builder(settings, vertx, loops, workers)
 *         .admission(PredictiveAdmission.builder()...build())
 *         .build();
 * sidecar.start().join();
 * }</pre>
 *
 * <p>Safe for use by many threads. It does not own the Vert.x instance, the loops or the workers it is given.
 */
public final class Sidecar implements ManagedService {
    private static final long EXPIRY_INTERVAL_MILLIS = 20;

    private final SidecarSettings settings;
    private final Vertx vertx;
    private final WorkerPool workers;
    private final AdmissionController admission;
    private final PingSource pings;
    private final EventLog events;
    private final CallTable calls;
    private final CallDispatcher gate;
    private final SidecarListener listener;
    private final UpstreamClient upstream;
    private final WireServer server;
    private long pingTimer = -1;
    private long expiryTimer = -1;
    private final AtomicLong pingSequence = new AtomicLong();

    private Sidecar(Builder builder) {
        this.settings = builder.settings;
        this.vertx = builder.vertx;
        this.workers = builder.workers;
        this.admission = Objects.requireNonNull(builder.admission, "admission");
        this.pings = builder.pings;
        this.events = builder.events;
        this.calls = CallTable.create();
        this.upstream = UpstreamClient.create(vertx, settings);
        this.gate = CallDispatcher.create(builder.context(), calls, upstream);
        this.listener = SidecarListener.create(gate, builder.peerMessages, this::pingMessage);
        this.server = WireServer.create(settings.wire(), builder.loops, settings.host(), settings.port(), listener);
    }

    /** Returns a builder; the Vert.x instance, loops and workers are shared with other parts of the process. */
    public static Builder builder(SidecarSettings settings, Vertx vertx, WireLoops loops, WorkerPool workers) {
        return new Builder(settings, vertx, loops, workers);
    }

    /** The port of the wire listener, once started. */
    public int port() {
        return server.port();
    }

    /** The settings. */
    public SidecarSettings settings() {
        return settings;
    }

    /** The gate's decisions. */
    public AdmissionController admission() {
        return admission;
    }

    /** The pool that decisions run on. */
    public WorkerPool workers() {
        return workers;
    }

    /** Takes no new work from now on; running and waiting calls go on. */
    public void drain() {
        if (gate.drain()) {
            events.record(EventCode.DAEMON_DRAINING, Map.of("open", calls.size()));
            ping();
        }
    }

    /** Carries out decisions that followed from outside, for example when limits were replaced. */
    public void carryOut(List<AdmissionDecision> decisions) {
        gate.carryOut(decisions);
    }

    /** Whether no call is open. */
    public boolean idle() {
        return calls.size() == 0;
    }

    /** Sends a message to every connected entry, for example a rollout verdict. */
    public void broadcast(Message message) {
        listener.connections().forEach(connection -> connection.send(message));
    }

    @Override
    public CompletableFuture<Void> start() {
        expiryTimer = vertx.setPeriodic(EXPIRY_INTERVAL_MILLIS, tick -> workers.executeOrRun(gate::tick));
        pingTimer = vertx.setPeriodic(settings.wire().pingInterval().toMillis(), tick -> ping());
        return server.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        drain();
        return calls.whenEmpty(vertx, grace).thenCompose(drained -> {
            if (!drained) {
                events.record(EventCode.DRAIN_DEADLINE, Map.of("open", calls.size()));
            }
            vertx.cancelTimer(expiryTimer);
            vertx.cancelTimer(pingTimer);
            return server.stop(grace)
                    .thenRun(() -> listener.connections().forEach(WireConnection::close))
                    .thenCompose(closed -> upstream.stop(grace));
        });
    }

    private void ping() {
        broadcast(pingMessage());
    }

    private Message pingMessage() {
        UpstreamLoad load = admission.load();
        return new Message.Ping(
                pingSequence.incrementAndGet(),
                pings.configurationPosition(),
                Optional.of(new Message.Load(
                        load.running(),
                        load.waiting(),
                        load.limit(),
                        load.cold(),
                        load.reservedTokens(),
                        load.memoryTokens())),
                pings.stamp(),
                gate.draining());
    }

    /** Collects the parts of a {@link Sidecar}; what is not set has a default that does nothing. */
    public static final class Builder {
        private final SidecarSettings settings;
        private final Vertx vertx;
        private final WireLoops loops;
        private final WorkerPool workers;
        private AdmissionController admission;
        private MonotonicClock clock = MonotonicClock.system();
        private DispatchCheck check = DispatchCheck.none();
        private CallObserver observer = CallObserver.none();
        private EventLog events = EventLog.none();
        private MetricRegistry metrics = new MetricRegistry();
        private Optional<WireListener> peerMessages = Optional.empty();
        private PingSource pings = new PingSource() {
            @Override
            public long configurationPosition() {
                return -1;
            }

            @Override
            public Optional<Message.Stamp> stamp() {
                return Optional.empty();
            }
        };

        private Builder(SidecarSettings settings, Vertx vertx, WireLoops loops, WorkerPool workers) {
            this.settings = Objects.requireNonNull(settings, "settings");
            this.vertx = Objects.requireNonNull(vertx, "vertx");
            this.loops = Objects.requireNonNull(loops, "loops");
            this.workers = Objects.requireNonNull(workers, "workers");
        }

        /** Sets the decisions of the gate; required. */
        public Builder admission(AdmissionController other) {
            admission = Objects.requireNonNull(other, "admission");
            return this;
        }

        /** Sets the clock. */
        public Builder clock(MonotonicClock other) {
            clock = Objects.requireNonNull(other, "clock");
            return this;
        }

        /** Sets the check that each dispatch passes before the upstream. */
        public Builder check(DispatchCheck other) {
            check = Objects.requireNonNull(other, "check");
            return this;
        }

        /** Sets who hears how calls went. */
        public Builder observer(CallObserver other) {
            observer = Objects.requireNonNull(other, "observer");
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

        /** Sets what pings carry. */
        public Builder pings(PingSource other) {
            pings = Objects.requireNonNull(other, "pings");
            return this;
        }

        private SidecarContext context() {
            return new SidecarContext(settings, vertx, workers, admission, clock, check, observer, events, metrics);
        }

        /** Returns the sidecar; throws {@link NullPointerException} without an admission controller. */
        public Sidecar build() {
            return new Sidecar(this);
        }
    }
}

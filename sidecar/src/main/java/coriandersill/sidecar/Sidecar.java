package coriandersill.sidecar;

import com.codahale.metrics.MetricRegistry;
import coriandersill.admission.AdmissionController;
import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.UpstreamLoad;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import coriandersill.sidecar.internal.CallDispatcher;
import coriandersill.sidecar.internal.CallTable;
import coriandersill.sidecar.internal.SidecarContext;
import coriandersill.sidecar.internal.SidecarListener;
import coriandersill.sidecar.internal.UpstreamClient;
import coriandersill.sidecar.internal.UpstreamCondition;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
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
 * A sidecar: admits calls from entries and forwards them to one upstream.
 *
 * <pre>{@code
 * Sidecar sidecar = Sidecar.builder(settings, vertx, loops, workers)
 *         .admission(PredictiveAdmission.builder()...build())
 *         .build();
 * sidecar.start().join();
 * }</pre>
 *
 * <p>Thread-safe. Does not own the given Vert.x instance, event loops or workers, and does not stop them.
 */
public final class Sidecar implements ManagedService {
    private static final long QUEUE_PROCESSING_INTERVAL_MILLIS = 20;

    /** The time without a step from which the queue or the pings count as stalled. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(10);

    private static final Duration DRAIN_STALL_BOUND = Duration.ofSeconds(1);

    private final SidecarSettings settings;
    private final Vertx vertx;
    private final WorkerPool workers;
    private final AdmissionController admission;
    private final PingSource pingSource;
    private final LoopGuard queueGuard;
    private final LoopGuard pingGuard;
    private final LoopGuard drainGuard;
    private final EventLog events;
    private final CallTable calls;
    private final CallDispatcher dispatcher;
    private final SidecarListener listener;
    private final UpstreamClient upstreamClient;
    private final UpstreamCondition upstreamCondition;
    private final WireServer server;
    private long pingTimer = -1;
    private long queueTimer = -1;
    private final AtomicLong pingSequence = new AtomicLong();

    private Sidecar(Builder builder) {
        this.settings = builder.settings;
        this.vertx = builder.vertx;
        this.workers = builder.workers;
        this.admission = Objects.requireNonNull(builder.admission, "admission");
        this.pingSource = builder.pingSource;
        this.events = builder.events;
        this.queueGuard = builder.loopRegistry.register("admission queue", STALL_BOUND);
        this.pingGuard = builder.loopRegistry.register("pings to entries", STALL_BOUND);
        this.drainGuard = builder.loopRegistry.register("drain of the calls", DRAIN_STALL_BOUND);
        this.calls = CallTable.create();
        this.upstreamClient = UpstreamClient.create(vertx, settings);
        SidecarContext context = builder.context();
        this.upstreamCondition = UpstreamCondition.of(context, upstreamClient, this::sendPings, builder.loopRegistry);
        this.dispatcher = CallDispatcher.create(context, calls, upstreamClient, upstreamCondition);
        this.listener = SidecarListener.create(dispatcher, builder.peerListener, this::pingMessage);
        this.server = WireServer.create(settings.wire(), builder.loops, settings.host(), settings.port(), listener);
    }

    /** Returns a builder; the Vert.x instance, event loops and workers may be shared with the rest of the process. */
    public static Builder builder(SidecarSettings settings, Vertx vertx, WireEventLoops loops, WorkerPool workers) {
        return new Builder(settings, vertx, loops, workers);
    }

    /** Returns the port of the wire listener; only valid after {@link #start}. */
    public int port() {
        return server.port();
    }

    /** Returns the settings. */
    public SidecarSettings settings() {
        return settings;
    }

    /** Returns the admission controller. */
    public AdmissionController admission() {
        return admission;
    }

    /** Returns the pool on which admission runs. */
    public WorkerPool workers() {
        return workers;
    }

    /** Stops accepting new calls; running and waiting calls continue. */
    public void drain() {
        if (dispatcher.drain()) {
            drainGuard.run(() -> events.record(EventCode.DAEMON_DRAINING, Map.of("open", calls.size())));
            pingGuard.run(this::sendPings);
        }
    }

    /** Applies admission decisions made outside the sidecar, for example after limits were replaced. */
    public void applyDecisions(List<AdmissionDecision> decisions) {
        dispatcher.apply(decisions);
    }

    /** Returns whether no call is open. */
    public boolean isIdle() {
        return calls.size() == 0;
    }

    /** Sends a message on every open connection. */
    public void broadcast(Message message) {
        listener.connections().forEach(connection -> connection.send(message));
    }

    @Override
    public CompletableFuture<Void> start() {
        queueTimer = vertx.setPeriodic(
                QUEUE_PROCESSING_INTERVAL_MILLIS,
                tick -> workers.executeOrRun(() -> queueGuard.runPeriodic(dispatcher::reportTokensAndProcessQueue)));
        pingTimer = vertx.setPeriodic(
                settings.wire().pingInterval().toMillis(), tick -> pingGuard.runPeriodic(this::sendPings));
        return server.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        drain();
        return calls.whenEmpty(vertx, grace, events, drainGuard).thenCompose(drained -> {
            vertx.cancelTimer(queueTimer);
            vertx.cancelTimer(pingTimer);
            queueGuard.rest();
            pingGuard.rest();
            return server.stop(grace)
                    .thenRun(() -> listener.connections().forEach(WireConnection::close))
                    .thenCompose(closed -> upstreamClient.stop(grace));
        });
    }

    private void sendPings() {
        listener.sendPings(pingGuard);
    }

    private Message pingMessage() {
        UpstreamLoad load = admission.load();
        return new Message.Ping(
                pingSequence.incrementAndGet(),
                pingSource.configurationPosition(),
                Optional.of(new Message.Load(
                        load.running(),
                        load.waiting(),
                        load.limit(),
                        load.cold(),
                        load.reservedTokens(),
                        load.memoryTokens())),
                pingSource.stamp(),
                dispatcher.isDraining(),
                Optional.of(upstreamCondition.notice()));
    }

    /** Builds a {@link Sidecar}; the admission controller is required. */
    public static final class Builder {
        private final SidecarSettings settings;
        private final Vertx vertx;
        private final WireEventLoops loops;
        private final WorkerPool workers;
        private AdmissionController admission;
        private MonotonicClock clock = MonotonicClock.system();
        private DispatchCheck dispatchCheck = DispatchCheck.none();
        private CallObserver observer = CallObserver.none();
        private EventLog events = EventLog.none();
        private MetricRegistry metrics = new MetricRegistry();
        private Loops loopRegistry = Loops.unobserved();
        private Optional<WireListener> peerListener = Optional.empty();
        private PingSource pingSource = new PingSource() {
            @Override
            public long configurationPosition() {
                return -1;
            }

            @Override
            public Optional<Message.Stamp> stamp() {
                return Optional.empty();
            }
        };

        private Builder(SidecarSettings settings, Vertx vertx, WireEventLoops loops, WorkerPool workers) {
            this.settings = Objects.requireNonNull(settings, "settings");
            this.vertx = Objects.requireNonNull(vertx, "vertx");
            this.loops = Objects.requireNonNull(loops, "loops");
            this.workers = Objects.requireNonNull(workers, "workers");
        }

        /** Sets the admission controller; required. */
        public Builder admission(AdmissionController value) {
            admission = Objects.requireNonNull(value, "admission");
            return this;
        }

        /** Sets the clock. */
        public Builder clock(MonotonicClock value) {
            clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /** Sets the check of dispatches on arrival and before they are sent to the upstream. */
        public Builder dispatchCheck(DispatchCheck value) {
            dispatchCheck = Objects.requireNonNull(value, "dispatchCheck");
            return this;
        }

        /** Sets the observer of calls. */
        public Builder observer(CallObserver value) {
            observer = Objects.requireNonNull(value, "observer");
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

        /** Sets the source of the configuration position and the stamps in pings. */
        public Builder pingSource(PingSource value) {
            pingSource = Objects.requireNonNull(value, "pingSource");
            return this;
        }

        private SidecarContext context() {
            return new SidecarContext(
                    settings, vertx, workers, admission, clock, dispatchCheck, observer, events, metrics);
        }

        /** Returns the sidecar; throws {@link NullPointerException} without an admission controller. */
        public Sidecar build() {
            return new Sidecar(this);
        }
    }
}

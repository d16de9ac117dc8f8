package coriandersill.connections;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import coriandersill.core.BodyMemory;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;

/**
 * Bounds what the connections of one listening port occupy and cost. Thread-safe.
 *
 * <pre>{@code
 * vertx.createHttpServer(GuardedPort.limit(options)).connectionHandler(port::add);
 * }</pre>
 */
public final class GuardedPort {
    /** How much later than its limit a head is refused, so that one that takes just under its limit is served. */
    static final Duration TIMEOUT_MARGIN = Duration.ofMillis(500);

    private static final long CHECK_INTERVAL_MILLIS = 250;
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    /** The memory for the heads of the requests to an internal port, beyond ordinary ones. */
    private static final long MAX_INTERNAL_HEAD_BYTES = 1 << 20;

    private static final ReleaseOrder ORDER = new ReleaseOrder();

    private final String name;
    private final int maxConnections;
    private final Supplier<RequestLimits> limits;
    private final BodyMemory memory;
    private final MonotonicClock clock;
    private final EventLog events;
    private final LongAdder clockFailures = new LongAdder();
    private volatile RequestLimits limitsInForce;
    private volatile long lastNowNanos;
    private final Set<GuardedConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean acceptLimited = new AtomicBoolean();
    private final AtomicInteger delayed = new AtomicInteger();
    private final Map<CloseReason, AtomicLong> closed = new EnumMap<>(CloseReason.class);
    private final Map<CloseReason, AtomicLong> loggedAtNanos = new EnumMap<>(CloseReason.class);

    /**
     * Creates the bounds of a port.
     *
     * @param name the name of the port in metrics and events
     * @param maxConnections the maximum number of open connections
     * @param limits supplies the limits of requests that are in force
     * @param memory the memory that heads take beyond that of ordinary ones
     */
    public GuardedPort(
            String name,
            int maxConnections,
            Supplier<RequestLimits> limits,
            BodyMemory memory,
            MonotonicClock clock,
            EventLog events) {
        this.name = name;
        this.maxConnections = maxConnections;
        this.limits = limits;
        this.limitsInForce = limits.get();
        this.memory = memory;
        this.clock = clock;
        this.events = events;
        for (CloseReason reason : CloseReason.values()) {
            closed.put(reason, new AtomicLong());
            loggedAtNanos.put(reason, new AtomicLong(clock.nanos() - LOG_INTERVAL.toNanos()));
        }
        lastNowNanos = clock.nanos();
    }

    /** Returns the bounds of a port that serves only other parts of the system, whose requests are small. */
    public static GuardedPort internal(
            String name, int maxConnections, MonotonicClock clock, EventLog events, MetricRegistry metrics) {
        return new GuardedPort(
                        name,
                        maxConnections,
                        RequestLimits::internal,
                        new BodyMemory(MAX_INTERNAL_HEAD_BYTES),
                        clock,
                        events)
                .register(metrics);
    }

    /** Sets the options of a server whose requests are small and of version 1 of HTTP. */
    public HttpServerOptions limitInternal(HttpServerOptions options) {
        return limit(options, limits().maxHeadBytes()).setHttp2ClearTextEnabled(false);
    }

    /** Registers the metrics of this port. */
    public GuardedPort register(MetricRegistry metrics) {
        Gauge<Integer> open = connections::size;
        metrics.register("connections." + name + ".open", open);
        Gauge<Integer> delayedNow = delayed::get;
        metrics.register("connections." + name + ".delayed", delayedNow);
        Gauge<Long> failures = clockFailures::sum;
        metrics.register("connections." + name + ".clock_failures", failures);
        closed.forEach((reason, count) -> {
            Gauge<Long> total = count::get;
            metrics.register("connections." + name + ".closed." + reason.name().toLowerCase(Locale.ROOT), total);
        });
        return this;
    }

    /** Starts to check the times of the connections; the check ends with {@code vertx}. */
    public void start(Vertx vertx) {
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, timer -> {
            limitsInForce = limits.get();
            long now = now();
            connections.forEach(connection -> connection.execute(() -> connection.checkTime(now)));
        });
    }

    /** Adds to the memory that the request bodies of a connection hold, or subtracts from it. */
    public static void addHeld(HttpConnection connection, long bytes) {
        find(connection).ifPresent(guarded -> guarded.memory().addHeld(bytes));
    }

    /** Adds to the bytes of whole responses that the caller has not read, or subtracts from them. */
    public static void addUnread(HttpConnection connection, long bytes) {
        find(connection).ifPresent(guarded -> guarded.memory().addUnread(bytes));
    }

    /**
     * Adds the action by which {@code owner} gives memory back, which runs when the connection is refused or closed.
     */
    public static void onRelease(HttpConnection connection, Object owner, Runnable action) {
        find(connection).ifPresent(guarded -> guarded.memory().addRelease(owner, action));
    }

    /** Tells that {@code owner} holds no memory any more. */
    public static void released(HttpConnection connection, Object owner) {
        find(connection).ifPresent(guarded -> guarded.memory().removeRelease(owner));
    }

    private static Optional<GuardedConnection> find(HttpConnection connection) {
        return Optional.ofNullable(((HttpServerConnection) connection)
                .channelHandlerContext()
                .channel()
                .attr(GuardedConnection.KEY)
                .get());
    }

    /** Sets the options of a server whose heads are decoded within bounds. */
    public static HttpServerOptions limit(HttpServerOptions options, int maxHeadBytes) {
        return options.setMaxHeaderSize(maxHeadBytes).setMaxInitialLineLength(RequestLimits.MAX_REQUEST_LINE_BYTES);
    }

    /** Adds a connection; called when it is opened. Closes another one, or else this one, if there are too many. */
    public void add(HttpConnection connection) {
        ChannelHandlerContext handler = ((HttpServerConnection) connection).channelHandlerContext();
        ChannelPipeline pipeline = handler.pipeline();
        GuardedConnection guarded = new GuardedConnection(this);
        limitAccepting(handler.channel().parent());
        pipeline.addFirst(guarded);
        if (pipeline.get(HttpRequestDecoder.class) != null) {
            pipeline.addBefore(handler.name(), null, guarded.observer());
        }
        if (connections.size() >= maxConnections && !closeOne(CloseReason.TOO_MANY_CONNECTIONS)) {
            connections.add(guarded);
            guarded.refuse(CloseReason.TOO_MANY_CONNECTIONS);
            return;
        }
        connections.add(guarded);
    }

    /** Limits accepting from the first connection on, since Vert.x does not show the listening channel before. */
    private void limitAccepting(Channel listener) {
        if (listener != null && acceptLimited.compareAndSet(false, true)) {
            listener.pipeline().addFirst(new AcceptLimiter(maxConnections));
        }
    }

    /** Lets {@code shared} ask this port for memory when it is used up. */
    public GuardedPort relieve(BodyMemory shared) {
        shared.setReliever(() -> closeOne(CloseReason.NO_MEMORY));
        return this;
    }

    /** Closes the first connection in the release order; returns false if all of them run requests. */
    private boolean closeOne(CloseReason reason) {
        Optional<GuardedConnection> first = first(reason == CloseReason.NO_MEMORY);
        first.ifPresent(connection -> connection.execute(() -> connection.refuse(reason)));
        return first.isPresent();
    }

    private Optional<GuardedConnection> first(boolean holding) {
        long now = now();
        GuardedConnection first = null;
        ConnectionUsage firstUsage = null;
        for (GuardedConnection connection : connections) {
            ConnectionUsage usage = connection.usage(now);
            boolean eligible = !usage.running() && !(holding && usage.heldBytes() == 0);
            if (eligible && (firstUsage == null || ORDER.compare(usage, firstUsage) < 0)) {
                first = connection;
                firstUsage = usage;
            }
        }
        return Optional.ofNullable(first);
    }

    /**
     * Returns the current time, or the last known one if the clock fails: an error in the middle of a read would close
     * the connection without a response to its request.
     */
    long now() {
        try {
            lastNowNanos = clock.nanos();
        } catch (RuntimeException e) {
            clockFailures.increment();
        }
        return lastNowNanos;
    }

    RequestLimits limits() {
        return limitsInForce;
    }

    BodyMemory memory() {
        return memory;
    }

    int delayedConnections() {
        return delayed.get();
    }

    int readDelayed() {
        return delayed.incrementAndGet();
    }

    void readResumed() {
        delayed.decrementAndGet();
    }

    void remove(GuardedConnection connection) {
        connections.remove(connection);
    }

    /** Counts a connection that is closed, and logs at most one line a second for each reason. */
    void closed(CloseReason reason) {
        long count = closed.get(reason).incrementAndGet();
        long now = now();
        AtomicLong logged = loggedAtNanos.get(reason);
        long last = logged.get();
        if (now - last >= LOG_INTERVAL.toNanos() && logged.compareAndSet(last, now)) {
            events.record(
                    EventCode.CONNECTION_CLOSED,
                    Map.of("port", name, "reason", reason.name(), "count", count, "open", connections.size()));
        }
    }
}

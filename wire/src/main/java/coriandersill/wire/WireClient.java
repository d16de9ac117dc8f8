package coriandersill.wire;

import coriandersill.core.ManagedService;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import coriandersill.wire.internal.PipelineInitializers;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps one connection to a peer open and reconnects with jittered exponential backoff when it is lost.
 *
 * <pre>{@code
 * WireClient client = WireClient.create(settings, loops, "10.0.0.7", 7400, listener, random);
 * client.start();
 * }</pre>
 */
public final class WireClient implements ManagedService {
    private static final Duration BASE_RECONNECT_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RECONNECT_DELAY = Duration.ofSeconds(5);
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    /** The time without an attempt that ends, from which the attempts count as stalled. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(10);

    /** Keeps the failure count from overflowing; counts above {@link #MAX_BACKOFF_EXPONENT} have the same effect. */
    private static final int MAX_COUNTED_FAILURES = 16;

    /** Keeps the shift of the delay from overflowing; {@link #MAX_RECONNECT_DELAY} is reached at a lower exponent. */
    private static final int MAX_BACKOFF_EXPONENT = 10;

    private final WireSettings settings;
    private final WireEventLoops loops;
    private final String host;
    private final int port;
    private final WireListener listener;
    private final RandomGenerator random;
    private final Loops loopRegistry;
    private final LoopGuard guard;
    private volatile boolean stopped;
    private volatile WireConnection currentConnection;
    private volatile int consecutiveFailures;
    private volatile Future<?> scheduledReconnect;

    private WireClient(
            WireSettings settings,
            WireEventLoops loops,
            String host,
            int port,
            WireListener listener,
            RandomGenerator random,
            Loops loopRegistry) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.loops = Objects.requireNonNull(loops, "loops");
        this.host = Objects.requireNonNull(host, "host");
        this.port = port;
        this.listener = Objects.requireNonNull(listener, "listener");
        this.random = Objects.requireNonNull(random, "random");
        this.loopRegistry = Objects.requireNonNull(loopRegistry, "loopRegistry");
        this.guard = loopRegistry.register("connection to " + host + ":" + port, STALL_BOUND);
    }

    /** Returns a client for a peer's address; it connects when it is started, and is in no registry of loops. */
    public static WireClient create(
            WireSettings settings,
            WireEventLoops loops,
            String host,
            int port,
            WireListener listener,
            RandomGenerator random) {
        return create(settings, loops, host, port, listener, random, Loops.unobserved());
    }

    /** Returns a client whose attempts to connect are a loop in {@code loopRegistry} until it is stopped. */
    public static WireClient create(
            WireSettings settings,
            WireEventLoops loops,
            String host,
            int port,
            WireListener listener,
            RandomGenerator random,
            Loops loopRegistry) {
        return new WireClient(settings, loops, host, port, listener, random, loopRegistry);
    }

    /** Returns the current connection, if it is open. */
    public Optional<WireConnection> connection() {
        return Optional.ofNullable(currentConnection).filter(WireConnection::isOpen);
    }

    @Override
    public CompletableFuture<Void> start() {
        connect();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        stopped = true;
        guard.rest();
        loopRegistry.remove(guard);
        Future<?> pending = scheduledReconnect;
        if (pending != null) {
            pending.cancel(false);
        }
        connection().ifPresent(WireConnection::close);
        return CompletableFuture.completedFuture(null);
    }

    private void connect() {
        if (!stopped) {
            guard.begin();
            guard.run(this::openConnection, this::scheduleReconnect);
        }
    }

    private void openConnection() {
        new Bootstrap()
                .group(loops.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(PipelineInitializers.forClient(settings, new TrackingListener()))
                .connect(host, port)
                .addListener(
                        connected -> guard.run(() -> onAttempted((ChannelFuture) connected), this::scheduleReconnect));
    }

    private void onAttempted(ChannelFuture connected) {
        if (connected.isSuccess()) {
            connected.channel().closeFuture().addListener(closed -> onClosed());
            guard.rest();
        } else {
            guard.markProgress();
            scheduleReconnect();
        }
    }

    private void onClosed() {
        if (!stopped) {
            guard.begin();
            guard.run(this::scheduleReconnect, this::scheduleReconnect);
        }
    }

    private void scheduleReconnect() {
        if (stopped || loops.group().isShuttingDown()) {
            return;
        }
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_COUNTED_FAILURES);
        long maxDelayMillis = Math.min(
                MAX_RECONNECT_DELAY.toMillis(),
                BASE_RECONNECT_DELAY.toMillis() << Math.min(consecutiveFailures, MAX_BACKOFF_EXPONENT));
        // Full jitter, on top of half the base delay as the minimum.
        long delayMillis = BASE_RECONNECT_DELAY.toMillis() / 2 + random.nextLong(maxDelayMillis);
        scheduledReconnect = loops.group().schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Records the current connection and delegates to the listener. */
    private final class TrackingListener implements WireListener {
        @Override
        public void onConnected(WireConnection connection) {
            consecutiveFailures = 0;
            currentConnection = connection;
            // The client was stopped while the connection was being opened.
            if (stopped) {
                connection.close();
            }
            listener.onConnected(connection);
        }

        @Override
        public void onMessage(WireConnection connection, Message message) {
            listener.onMessage(connection, message);
        }

        @Override
        public void onDisconnected(WireConnection connection) {
            listener.onDisconnected(connection);
        }
    }
}

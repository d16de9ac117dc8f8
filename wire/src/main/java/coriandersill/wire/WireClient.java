package coriandersill.wire;

import coriandersill.core.ManagedService;
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
 * Keeps one connection to a peer open, connecting again after a jittered, growing delay when it is lost.
 *
 * <pre>{@code
 * WireClient link = WireClient.create(settings, loops, "10.0.0.7", 7400, listener, random);
 * link.start();
 * }</pre>
 */
public final class WireClient implements ManagedService {
    private static final Duration FIRST_DELAY = Duration.ofMillis(100);
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(5);
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final WireSettings settings;
    private final WireEventLoops loops;
    private final String host;
    private final int port;
    private final WireListener listener;
    private final RandomGenerator random;
    private volatile boolean stopped;
    private volatile WireConnection current;
    private volatile int failures;
    private volatile Future<?> reconnect;

    private WireClient(
            WireSettings settings,
            WireEventLoops loops,
            String host,
            int port,
            WireListener listener,
            RandomGenerator random) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.loops = Objects.requireNonNull(loops, "loops");
        this.host = Objects.requireNonNull(host, "host");
        this.port = port;
        this.listener = Objects.requireNonNull(listener, "listener");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns a link to an address; it connects once started. */
    public static WireClient create(
            WireSettings settings,
            WireEventLoops loops,
            String host,
            int port,
            WireListener listener,
            RandomGenerator random) {
        return new WireClient(settings, loops, host, port, listener, random);
    }

    /** The open connection, if there is one. */
    public Optional<WireConnection> connection() {
        return Optional.ofNullable(current).filter(WireConnection::isOpen);
    }

    @Override
    public CompletableFuture<Void> start() {
        connect();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        stopped = true;
        Future<?> pending = reconnect;
        if (pending != null) {
            pending.cancel(false);
        }
        connection().ifPresent(WireConnection::close);
        return CompletableFuture.completedFuture(null);
    }

    private void connect() {
        if (stopped) {
            return;
        }
        new Bootstrap()
                .group(loops.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(PipelineInitializers.forClient(settings, new Tracking()))
                .connect(host, port)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        ((ChannelFuture) connected).channel().closeFuture().addListener(closed -> connectLater());
                    } else {
                        connectLater();
                    }
                });
    }

    private void connectLater() {
        if (stopped || loops.group().isShuttingDown()) {
            return;
        }
        failures = Math.min(failures + 1, 16);
        long ceiling = Math.min(LONGEST_DELAY.toMillis(), FIRST_DELAY.toMillis() << Math.min(failures, 10));
        long delay = FIRST_DELAY.toMillis() / 2 + random.nextLong(ceiling);
        reconnect = loops.group().schedule(this::connect, delay, TimeUnit.MILLISECONDS);
    }

    /** Remembers the open connection on its way to the listener. */
    private final class Tracking implements WireListener {
        @Override
        public void onConnected(WireConnection connection) {
            failures = 0;
            current = connection;
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

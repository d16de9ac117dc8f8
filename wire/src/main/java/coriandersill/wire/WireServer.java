package coriandersill.wire;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import coriandersill.wire.internal.PipelineInitializers;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Accepts wire connections. Stopping it closes only the listening socket; accepted connections stay open.
 *
 * <pre>{@code
 * WireServer server = WireServer.create(settings, loops, "127.0.0.1", 0, listener);
 * server.start().thenRun(() -> register(server.port()));
 * }</pre>
 */
public final class WireServer implements ManagedService {
    private final WireSettings settings;
    private final WireEventLoops loops;
    private final String host;
    private final int port;
    private final WireListener listener;
    private volatile Channel channel;

    private WireServer(WireSettings settings, WireEventLoops loops, String host, int port, WireListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.loops = Objects.requireNonNull(loops, "loops");
        this.host = Objects.requireNonNull(host, "host");
        this.port = port;
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Returns a server for an address; port 0 selects any free port. */
    public static WireServer create(
            WireSettings settings, WireEventLoops loops, String host, int port, WireListener listener) {
        return new WireServer(settings, loops, host, port, listener);
    }

    /** Returns the port that the server listens on; valid once it is started. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(PipelineInitializers.forServer(settings, listener))
                .bind(host, port)
                .addListener(bound -> {
                    if (bound.isSuccess()) {
                        channel = ((ChannelFuture) bound).channel();
                        started.complete(null);
                    } else {
                        started.completeExceptionally(CallFailure.of(
                                ErrorKind.UNAVAILABLE,
                                "wire address " + host + ":" + port + ": expected a free address, found "
                                        + bound.cause().getMessage()));
                    }
                });
        return started;
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        Channel serverChannel = channel;
        if (serverChannel == null) {
            return CompletableFuture.completedFuture(null);
        }
        serverChannel.close().addListener(done -> stopped.complete(null));
        return stopped;
    }
}

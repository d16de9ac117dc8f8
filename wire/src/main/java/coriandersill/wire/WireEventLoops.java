package coriandersill.wire;

import coriandersill.core.ManagedService;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The event loops that do the I/O of wire connections, shared by the server and the clients of a process. */
public final class WireEventLoops implements ManagedService {
    private final EventLoopGroup group;

    private WireEventLoops(int threads) {
        this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Returns a group of {@code threads} event loops; {@code threads} must be at least 1. */
    public static WireEventLoops of(int threads) {
        return new WireEventLoops(threads);
    }

    EventLoopGroup group() {
        return group;
    }

    @Override
    public CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        group.shutdownGracefully(0, grace.toMillis(), TimeUnit.MILLISECONDS)
                .addListener(done -> stopped.complete(null));
        return stopped;
    }
}

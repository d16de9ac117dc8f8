package coriandersill.wire;

import coriandersill.core.ManagedService;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The event loops that move the bytes of wire connections, shared by a process's server and links. */
public final class WireEventLoops implements ManagedService {
    private final EventLoopGroup group;

    private WireEventLoops(int threads) {
        this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Returns {@code threads} event loops, 1 or more. */
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

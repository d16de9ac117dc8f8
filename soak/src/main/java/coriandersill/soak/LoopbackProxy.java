package coriandersill.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A TCP proxy to a loopback port that disturbs new and open connections according to its {@link Mode}. */
final class LoopbackProxy implements AutoCloseable {
    /** How long {@link Mode#DELAY} holds back each block of bytes. */
    private static final long DELAY_MILLIS = 150;

    /** What the proxy does with the bytes of its connections. */
    enum Mode {
        /** Forwards bytes unchanged. */
        PASS,
        /** Forwards bytes after a delay. */
        DELAY,
        /** Resets open and new connections: an end without a reset could pass for that of a body without framing. */
        RESET,
        /** Drops bytes both ways and closes nothing; a direction that has lost bytes forwards nothing from then on. */
        SILENT,
        /**
         * Forwards requests and drops responses; a connection that has lost response bytes forwards no more of them.
         */
        NO_ANSWERS
    }

    private final Vertx vertx;
    private final NetServer server;
    private final int targetPort;
    private final Set<NetSocket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    private LoopbackProxy(Vertx vertx, int targetPort) throws Exception {
        this.vertx = vertx;
        this.targetPort = targetPort;
        this.server = vertx.createNetServer().connectHandler(this::handleConnection);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    static LoopbackProxy to(Vertx vertx, int targetPort) throws Exception {
        return new LoopbackProxy(vertx, targetPort);
    }

    int port() {
        return server.actualPort();
    }

    void setMode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            openSockets.forEach(LoopbackProxy::reset);
        }
    }

    private static void reset(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void handleConnection(NetSocket client) {
        if (mode == Mode.RESET) {
            reset(client);
            return;
        }
        openSockets.add(client);
        client.pause();
        vertx.createNetClient().connect(targetPort, "127.0.0.1").onComplete(connection -> {
            if (connection.failed()) {
                client.close();
                return;
            }
            NetSocket target = connection.result();
            openSockets.add(target);
            forward(client, target, true);
            forward(target, client, false);
            client.resume();
        });
    }

    private void forward(NetSocket from, NetSocket to, boolean isRequest) {
        Direction direction = new Direction(to);
        from.handler(bytes -> direction.forward(bytes, isRequest));
        from.exceptionHandler(failure -> from.close());
        from.closeHandler(closed -> {
            openSockets.remove(from);
            if (!direction.blackholed) {
                // Twice the delay, so that delayed bytes are written before the connection closes.
                vertx.setTimer(2 * DELAY_MILLIS, timer -> to.close());
            }
        });
    }

    /** One direction of a connection; keeps bytes in order and never drops bytes between forwarded ones. */
    private final class Direction {
        private final NetSocket to;
        private final Deque<Buffer> delayed = new ArrayDeque<>();
        private boolean blackholed;

        private Direction(NetSocket to) {
            this.to = to;
        }

        private synchronized void forward(Buffer bytes, boolean isRequest) {
            blackholed |= mode == Mode.SILENT || (mode == Mode.NO_ANSWERS && !isRequest);
            if (blackholed) {
                return;
            }
            if (mode != Mode.DELAY && delayed.isEmpty()) {
                to.write(bytes);
                return;
            }
            delayed.addLast(bytes);
            vertx.setTimer(DELAY_MILLIS, timer -> writeNext());
        }

        private synchronized void writeNext() {
            to.write(delayed.removeFirst());
        }
    }

    @Override
    public void close() {
        openSockets.forEach(NetSocket::close);
        server.close();
    }
}

package coriandersill.soak;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Passes connections on to a port of loopback and treats them as it is told, those that are open included. */
final class LoopbackProxy implements AutoCloseable {
    private static final long DELAY_MILLIS = 150;

    /** How connections are treated. */
    enum Mode {
        /** Bytes pass. */
        PASS,
        /** Bytes pass later. */
        DELAY,
        /** Connections are reset, open ones and new ones. */
        RESET,
        /** Nothing passes either way, and no connection is closed; one that has lost bytes stays silent for good. */
        SILENT,
        /** Requests pass, answers don't; a connection that has lost an answer gives no more. */
        NO_ANSWERS
    }

    private final Vertx vertx;
    private final NetServer server;
    private final int targetPort;
    private final Set<NetSocket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    private LoopbackProxy(Vertx vertx, int target) throws Exception {
        this.vertx = vertx;
        this.targetPort = target;
        this.server = vertx.createNetServer().connectHandler(this::handleConnection);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    static LoopbackProxy to(Vertx vertx, int target) throws Exception {
        return new LoopbackProxy(vertx, target);
    }

    int port() {
        return server.actualPort();
    }

    void mode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            openSockets.forEach(NetSocket::close);
        }
    }

    private void handleConnection(NetSocket caller) {
        if (mode == Mode.RESET) {
            caller.close();
            return;
        }
        openSockets.add(caller);
        caller.pause();
        vertx.createNetClient().connect(targetPort, "127.0.0.1").onComplete(connected -> {
            if (connected.failed()) {
                caller.close();
                return;
            }
            NetSocket upstream = connected.result();
            openSockets.add(upstream);
            forward(caller, upstream, true);
            forward(upstream, caller, false);
            caller.resume();
        });
    }

    private void forward(NetSocket from, NetSocket to, boolean request) {
        Direction path = new Direction(to);
        from.handler(bytes -> path.forward(bytes, request));
        from.exceptionHandler(broken -> from.close());
        from.closeHandler(closed -> {
            openSockets.remove(from);
            if (!path.blackholed) {
                // What was delayed goes out before the end of the connection.
                vertx.setTimer(2 * DELAY_MILLIS, timer -> to.close());
            }
        });
    }

    /** One direction of a connection; bytes keep their order, and none is left out from the middle. */
    private final class Direction {
        private final NetSocket to;
        private final Deque<Buffer> delayed = new ArrayDeque<>();
        private boolean blackholed;

        private Direction(NetSocket to) {
            this.to = to;
        }

        private synchronized void forward(Buffer bytes, boolean request) {
            blackholed |= mode == Mode.SILENT || (mode == Mode.NO_ANSWERS && !request);
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

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
    enum Manner {
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
    private final int target;
    private final Set<NetSocket> open = ConcurrentHashMap.newKeySet();
    private volatile Manner manner = Manner.PASS;

    private LoopbackProxy(Vertx vertx, int target) throws Exception {
        this.vertx = vertx;
        this.target = target;
        this.server = vertx.createNetServer().connectHandler(this::accepted);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    static LoopbackProxy to(Vertx vertx, int target) throws Exception {
        return new LoopbackProxy(vertx, target);
    }

    int port() {
        return server.actualPort();
    }

    void manner(Manner next) {
        manner = next;
        if (next == Manner.RESET) {
            open.forEach(NetSocket::close);
        }
    }

    private void accepted(NetSocket caller) {
        if (manner == Manner.RESET) {
            caller.close();
            return;
        }
        open.add(caller);
        caller.pause();
        vertx.createNetClient().connect(target, "127.0.0.1").onComplete(connected -> {
            if (connected.failed()) {
                caller.close();
                return;
            }
            NetSocket upstream = connected.result();
            open.add(upstream);
            join(caller, upstream, true);
            join(upstream, caller, false);
            caller.resume();
        });
    }

    private void join(NetSocket from, NetSocket to, boolean request) {
        Path path = new Path(to);
        from.handler(bytes -> path.pass(bytes, request));
        from.exceptionHandler(broken -> from.close());
        from.closeHandler(closed -> {
            open.remove(from);
            if (!path.silent) {
                // What was delayed goes out before the end of the connection.
                vertx.setTimer(2 * DELAY_MILLIS, timer -> to.close());
            }
        });
    }

    /** One direction of a connection; bytes keep their order, and none is left out from the middle. */
    private final class Path {
        private final NetSocket to;
        private final Deque<Buffer> waiting = new ArrayDeque<>();
        private boolean silent;

        private Path(NetSocket to) {
            this.to = to;
        }

        private synchronized void pass(Buffer bytes, boolean request) {
            silent |= manner == Manner.SILENT || (manner == Manner.NO_ANSWERS && !request);
            if (silent) {
                return;
            }
            if (manner != Manner.DELAY && waiting.isEmpty()) {
                to.write(bytes);
                return;
            }
            waiting.addLast(bytes);
            vertx.setTimer(DELAY_MILLIS, timer -> writeFirst());
        }

        private synchronized void writeFirst() {
            to.write(waiting.removeFirst());
        }
    }

    @Override
    public void close() {
        open.forEach(NetSocket::close);
        server.close();
    }
}

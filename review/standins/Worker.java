import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for a worker: registers itself, renews its entry, and runs requests one at a time on a connection. */
class Worker {
    private static final long BEAT_MILLIS = 1_200;

    final Rig rig;
    final Store store;
    final String id;
    final String service;
    final String zone;
    final ServerSocket socket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    final long born = System.currentTimeMillis();
    private volatile String state = "ready";
    private volatile boolean registered;
    private volatile boolean ended;
    private long sequence;

    /** How a worker answers a request that it runs. */
    interface Handler {
        void run(Worker worker, Http.Request request, Socket connection, OutputStream out) throws IOException;
    }

    private final Handler handler;

    Worker(Rig rig, Store store, String id, String service, String zone, Handler handler) throws IOException {
        this.rig = rig;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.handler = handler;
        this.socket = new ServerSocket(0, 256, InetAddress.getByName(Rig.HOST));
        Rig.start("worker-" + id, this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Registers the worker, and renews its entry from then on. */
    Worker register() {
        registered = true;
        beat();
        Rig.start("beat-" + id, () -> {
            while (registered) {
                Rig.sleep(BEAT_MILLIS);
                beat();
            }
        });
        return this;
    }

    private synchronized void beat() {
        if (registered) {
            store.put(
                    Store.SERVERS,
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + Rig.HOST + ":" + port() + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"v1\",\"slots\":32,\"state\":\"" + state
                            + "\",\"cold_remaining_ms\":0,\"born\":" + born + moreOfEntry() + ",\"sequence\":" + ++sequence + "}");
        }
    }

    /** Returns further fields of the entry, each after a comma. */
    String moreOfEntry() {
        return "";
    }

    /** Reports that the worker is draining; the store has accepted it when this returns. */
    void drain() {
        state = "draining";
        beat();
    }

    /** Removes the entry; the store has accepted it when this returns. */
    synchronized void unregister() {
        registered = false;
        store.put(Store.SERVERS, id, "");
    }

    boolean isDraining() {
        return state.equals("draining");
    }

    boolean hasEnded() {
        return ended;
    }

    /** Ends the process, as a kill does: the listener and all connections close. */
    void end() {
        ended = true;
        registered = false;
        close(socket);
        connections.forEach(Worker::close);
    }

    static void close(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception alreadyClosed) {
            // Nothing is left to close.
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Rig.start("worker-connection", () -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            while (true) {
                Http.Request request = Http.readRequest(in);
                if (request == null || ended) {
                    return;
                }
                if (!control(request, connection, out)) {
                    run(request, connection, out);
                }
                if (connection.isClosed() || "close".equalsIgnoreCase(request.header("connection"))) {
                    return;
                }
            }
        } catch (IOException closed) {
            // The caller closed the connection.
        } finally {
            connections.remove(connection);
        }
    }

    private void run(Http.Request request, Socket connection, OutputStream out) throws IOException {
        String expected = request.header("X-Coriandersill-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, Map.of("X-Coriandersill-Instance-Id", id), new byte[0]);
            return;
        }
        handler.run(this, request, connection, out);
    }

    /** Answers a call that is not a client's request; returns whether it was one. */
    boolean control(Http.Request request, Socket connection, OutputStream out) throws IOException {
        if (request.path().equals("/healthcheck")) {
            Http.respond(out, isDraining() ? 503 : 200, Map.of("X-Coriandersill-Instance-Id", id), new byte[0]);
            return true;
        }
        return false;
    }

    /** The headers of a response of this worker's own. */
    Map<String, String> signed(Http.Request request) {
        return new java.util.LinkedHashMap<>(Map.of(
                "X-Coriandersill-Attempt-Id", String.valueOf(request.header("X-Coriandersill-Attempt-Id")),
                "X-Coriandersill-Server-Signature", "sig." + id));
    }
}

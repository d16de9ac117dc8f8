import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a worker: a plain one, or a model worker that streams events. */
final class Worker implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 1_200;
    private static final int EVENT_MILLIS = 30;
    private static final int PREFILL_MILLIS = 100;
    private static final int PROMPT_TOKENS = 3_300;
    private static final int DEFAULT_PRIORITY = 5;

    /** How long a model worker is cold after a start during traffic, as in the site files. */
    private static final long COLD_MILLIS = 1_000;

    /** How many requests wait for each slot before others are rejected, as in the site files. */
    private static final int QUEUE_PER_SLOT = 3;

    /** What a worker is; {@code failuresInTen} of ten answers fail, and each takes {@code workMillis}. */
    record Kind(String service, String version, int slots, int workMillis, int failuresInTen, boolean engine) {}

    /** Told of each request that a worker began to work on, and of each crash. */
    interface Listener {
        void ran(Worker worker, Http.Request request);

        default void crashed(Worker worker) {}
    }

    private final Store store;
    private final Recorder recorder;
    private final Listener listener;
    private final Kind kind;
    private final String zone;
    private final String host;
    private final String name;
    private final Set<String> crashingParts;
    private final int restartMillis;
    private final Http.Server server;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final Map<String, Boolean> running = new ConcurrentHashMap<>();
    private volatile int truncatedInterval;
    private final AtomicInteger streams = new AtomicInteger();
    private volatile int starts = 1;
    private volatile String id;
    private volatile long born = System.currentTimeMillis();
    private volatile int sequence;
    private volatile String state = "ready";
    private volatile boolean up = true;
    private volatile boolean ended;

    Worker(
            Store store,
            Recorder recorder,
            Listener listener,
            Kind kind,
            String zone,
            String host,
            String name,
            Set<String> crashingParts,
            int restartMillis)
            throws IOException {
        this.store = store;
        this.recorder = recorder;
        this.listener = listener;
        this.kind = kind;
        this.zone = zone;
        this.host = host;
        this.name = name;
        this.id = "i-" + name + "-1";
        this.crashingParts = crashingParts;
        this.restartMillis = restartMillis;
        this.slots = new Semaphore(kind.slots(), true);
        this.server = new Http.Server(host, 0, this::handle);
        Thread heartbeats = new Thread(this::report, "heartbeats " + name);
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    String id() {
        return id;
    }

    String version() {
        return kind.version();
    }

    /** Makes one of so many streams end inside an event, or none if 0. */
    void truncateOneOf(int interval) {
        truncatedInterval = interval;
    }

    private void report() {
        try {
            while (!ended) {
                if (up) {
                    putEntry();
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void putEntry() {
        if (up && !ended) {
            sequence++;
            store.put(
                    "keyed.servers",
                    id,
                    "{\"service\":\"" + kind.service() + "\",\"address\":\"" + host + ":" + server.port()
                            + "\",\"zone\":\"" + zone + "\",\"version\":\"" + kind.version() + "\",\"slots\":"
                            + kind.slots() + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":" + coldMillis()
                            + ",\"sequence\":" + sequence + ",\"born\":" + born + "}");
        }
    }

    private long coldMillis() {
        boolean startedDuringTraffic = starts > 1;
        long left = COLD_MILLIS - (System.currentTimeMillis() - born);
        return kind.engine() && startedDuringTraffic ? Math.max(0, left) : 0;
    }

    /** Writes its entry at once, as workers do when the store is back from a copy. */
    void writeAgain() {
        putEntry();
    }

    /** Ends at once, without draining, and its entry is removed. */
    synchronized void stop() {
        ended = true;
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        store.put("keyed.servers", id, "");
        recorder.line("worker", id + " stopped");
    }

    /** Reports after a while that it leaves, serves on, and then ends. */
    void drainLater(int delayMillis, int millis) {
        Thread end = new Thread(() -> {
            try {
                Thread.sleep(delayMillis);
                state = "draining";
                putEntry();
                recorder.line("worker", id + " draining");
                Thread.sleep(millis);
                stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        end.setDaemon(true);
        end.start();
    }

    private void crash(String cause) throws IOException {
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            recorder.line("crash", id + " by " + cause);
            listener.crashed(this);
            server.crash();
        }
        String gone = id;
        Thread expiry = new Thread(() -> {
            try {
                Thread.sleep(3 * HEARTBEAT_MILLIS);
                store.put("keyed.servers", gone, "");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        expiry.setDaemon(true);
        expiry.start();
        Thread restart = new Thread(() -> {
            try {
                Thread.sleep(restartMillis);
                synchronized (this) {
                    starts++;
                    id = "i-" + name + "-" + starts;
                    born = System.currentTimeMillis();
                    sequence = 0;
                    running.clear();
                    server.restart();
                    up = true;
                }
                recorder.line("worker", id + " started again");
                putEntry();
            } catch (InterruptedException | IOException e) {
                recorder.line("worker", id + " did not start again: " + e);
            }
        });
        restart.setDaemon(true);
        restart.start();
    }

    private boolean handle(Http.Request request, OutputStream out, Socket connection) throws IOException {
        String own = id;
        if (request.path().equals("/v1/report")) {
            byte[] report = reportOf().getBytes(StandardCharsets.UTF_8);
            Http.respond(out, kind.engine() ? 200 : 404, "Content-Type: application/json\r\n", report);
            return true;
        }
        if (request.path().equals("/healthcheck")) {
            Http.respond(out, state.equals("ready") ? 200 : 503, instanceLine(own), new byte[0]);
            return true;
        }
        if (request.path().startsWith("/v1/")) {
            // No order is accepted: it holds no copies, and the runs of a worker that crashed are gone.
            Http.respond(out, 404, "", new byte[0]);
            return true;
        }
        String attempt = request.header("X-Coriandersill-Attempt-Id");
        if (attempt.isEmpty()) {
            Http.respond(out, 400, "X-Coriandersill-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        String expected = request.header("X-Coriandersill-Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(own)) {
            Http.respond(out, 421, instanceLine(own), new byte[0]);
            return true;
        }
        if (!awaitSlot()) {
            recorder.line("rejected", attempt + " at " + own);
            Http.respond(out, 503, "X-Coriandersill-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        running.put(attempt, true);
        try {
            recorder.line("run", attempt + " at " + own + " " + kind.version());
            listener.ran(this, request);
            return kind.engine() ? stream(request, own, attempt, out, connection) : answer(attempt, out);
        } finally {
            running.remove(attempt);
            slots.release();
        }
    }

    /** Waits for a slot; returns false at once if too many wait. */
    private boolean awaitSlot() throws IOException {
        if (slots.tryAcquire()) {
            return true;
        }
        try {
            if (waiting.incrementAndGet() > QUEUE_PER_SLOT * kind.slots()) {
                return false;
            }
            slots.acquire();
            return true;
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            waiting.decrementAndGet();
        }
    }

    private boolean answer(String attempt, OutputStream out) throws IOException {
        pause(kind.workMillis());
        boolean fails = (answers.getAndIncrement() * 7) % 10 < kind.failuresInTen();
        Http.respond(out, fails ? 500 : 200, answerLines(attempt), ("done " + attempt).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private boolean stream(Http.Request request, String own, String attempt, OutputStream out, Socket connection)
            throws IOException {
        pause(PREFILL_MILLIS);
        for (String part : sharedParts(request)) {
            if (crashingParts.contains(part)) {
                crash(attempt);
                return false;
            }
        }
        if (!own.equals(id) || !up) {
            connection.close();
            return false;
        }
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + answerLines(attempt)
                + "X-Coriandersill-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        int events = eventsOf(request);
        boolean truncated = truncatedInterval > 0 && streams.incrementAndGet() % truncatedInterval == 0;
        for (int event = 1; event <= events; event++) {
            if (truncated && event > events / 2) {
                recorder.line("truncated", attempt + " inside event " + event + " of " + events);
                chunk(out, "id: " + event + "\nda");
                break;
            }
            chunk(out, "id: " + event + "\ndata: token " + event + "\n\n");
            pause(EVENT_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String[] sharedParts(Http.Request request) {
        String[] parts = request.header("X-Coriandersill-Prompt-Prefix").split(",");
        String[] shared = new String[Math.max(0, parts.length - 1)];
        for (int i = 0; i < shared.length; i++) {
            shared[i] = parts[i].split(":")[0];
        }
        return shared;
    }

    private static int eventsOf(Http.Request request) {
        String[] usage = request.header("X-Coriandersill-Token-Usage").split(",");
        return usage.length < 2 ? 1 : Math.max(1, Integer.parseInt(usage[1].trim()) / 4);
    }

    private static String answerLines(String attempt) {
        return "X-Coriandersill-Attempt-Id: " + attempt + "\r\nX-Coriandersill-Server-Signature: s." + attempt + "\r\n";
    }

    private static String instanceLine(String id) {
        return "X-Coriandersill-Instance-Id: " + id + "\r\n";
    }

    private String reportOf() {
        StringBuilder runs = new StringBuilder();
        for (String attempt : running.keySet()) {
            runs.append(runs.length() == 0 ? "" : ",")
                    .append("[\"").append(attempt).append("\",").append(PROMPT_TOKENS).append(",0,")
                    .append(DEFAULT_PRIORITY).append("]");
        }
        int active = running.size();
        return "{\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                + "\"sequence\":0,\"queued\":" + waiting.get() + ",\"active\":" + active + ",\"kv_cache_used\":"
                + PROMPT_TOKENS * active + ",\"kv_cache_total\":34290,\"handles\":0,\"pinned\":0,\"held\":0,"
                + "\"state\":\"" + state + "\",\"next\":0,\"born\":" + born + ",\"runs\":[" + runs + "]}";
    }

    private static void pause(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        server.close();
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for a model worker: streams numbered events, and copies the memory of a run to another one. Copies take the
 * time that the link needs, twice as long to another zone, one after another.
 */
final class Engine extends Worker {
    private static final long EVENT_MILLIS = 30;
    private static final int PREFILL_TOKENS_PER_MILLI = 14;
    private static final String MODELS = "\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    private static final int TOKENS_PER_EVENT = 4;
    private static final double TOKENS_PER_MILLI = 24_000.0 * 1_000 / 8 / 163_840;
    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern TARGET = Pattern.compile("\"target\"\\s*:\\s*\"([^\"]*)\"");

    private final int events;
    private final boolean withLength;
    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private final Map<String, Run> handles = new ConcurrentHashMap<>();
    private final ReentrantLock link = new ReentrantLock(true);
    private final AtomicLong handleNumber = new AtomicLong();
    private static final Map<String, Engine> ENGINES = new ConcurrentHashMap<>();

    /** A running generation. */
    private static final class Run {
        private final String id;
        private final int promptTokens;
        private volatile int made;
        private volatile boolean started;
        private volatile boolean stopped;
        private volatile boolean moving;
        private int copiedTokens;

        private Run(String id, int promptTokens, int made) {
            this.id = id;
            this.promptTokens = promptTokens;
            this.made = made;
        }

        private int tokens() {
            return promptTokens + made * TOKENS_PER_EVENT;
        }
    }

    /**
     * Creates an engine.
     *
     * @param events the number of events of each generation
     * @param withLength whether its streams are chunked; otherwise they end with their connection
     */
    Engine(Rig rig, Store store, String id, String zone, int events, boolean withLength) throws IOException {
        super(rig, store, id, Config.SCRIBE, zone, (worker, request, connection, out) ->
                ((Engine) worker).generate(request, connection, out));
        this.events = events;
        this.withLength = withLength;
        ENGINES.put(Rig.HOST + ":" + port(), this);
    }

    private void generate(Http.Request request, Socket connection, OutputStream out) throws IOException {
        String attempt = request.header("X-Coriandersill-Attempt-Id");
        String from = request.header("Kv-From");
        String last = request.header("Last-Event-Id");
        int done = last == null ? 0 : Integer.parseInt(last);
        if (from != null) {
            Engine source = ENGINES.get(from.substring(0, from.indexOf('/')));
            Run copied = source == null ? null : source.handles.remove(from.substring(from.indexOf('/') + 1));
            if (copied == null) {
                Http.respond(out, 503, Map.of("X-Coriandersill-Not-Executed", "1"), new byte[0]);
                return;
            }
        }
        int promptTokens = Integer.parseInt(request.header("X-Coriandersill-Token-Usage").split(",")[0]);
        Run run = new Run(attempt, promptTokens, done);
        runs.put(attempt, run);
        rig.log(id + " runs " + attempt + (from == null ? "" : " on from event " + done));
        try {
            if (from == null) {
                Rig.sleep(promptTokens / PREFILL_TOKENS_PER_MILLI);
            }
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
            signed(request).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append(withLength ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
            out.write(Http.bytes(head.toString()));
            run.started = true;
            while (run.made < events && !run.stopped && !hasEnded()) {
                byte[] event = Http.bytes("id: " + (run.made + 1) + "\ndata: piece " + (run.made + 1) + " of " + attempt + "\n\n");
                if (withLength) {
                    out.write(Http.bytes(Integer.toHexString(event.length) + "\r\n"));
                    out.write(event);
                    out.write(Http.bytes("\r\n"));
                } else {
                    out.write(event);
                }
                out.flush();
                run.made++;
                Rig.sleep(EVENT_MILLIS);
            }
            if (run.made == events && !run.stopped) {
                if (withLength) {
                    out.write(Http.bytes("0\r\n\r\n"));
                    out.flush();
                }
                rig.log(id + " has made all " + events + " events of " + attempt);
            }
        } finally {
            runs.remove(attempt, run);
            if (run.stopped || !withLength) {
                connection.close();
            }
        }
    }

    @Override
    boolean control(Http.Request request, Socket connection, OutputStream out) throws IOException {
        if (request.path().equals("/v1/report")) {
            Http.respond(out, 200, Map.of("Content-Type", "application/json"), Http.bytes(report()));
            return true;
        }
        if (request.path().equals("/v1/kv-move")) {
            move(request, out);
            return true;
        }
        if (request.path().startsWith("/v1/kv-handle/")) {
            handles.remove(request.path().substring("/v1/kv-handle/".length()));
            Http.respond(out, 200, Map.of(), new byte[0]);
            return true;
        }
        return super.control(request, connection, out);
    }

    /** Returns the number of running generations. */
    int running() {
        return runs.size();
    }

    @Override
    String moreOfEntry() {
        return "," + MODELS;
    }

    @Override
    Map<String, String> signed(Http.Request request) {
        Map<String, String> headers = super.signed(request);
        headers.put("X-Coriandersill-Weight-Versions", "1");
        return headers;
    }

    private String report() {
        StringBuilder rows = new StringBuilder();
        int used = 0;
        for (Run run : runs.values()) {
            used += run.tokens();
            if (run.started) {
                rows.append(rows.length() == 0 ? "" : ",")
                        .append("[\"" + run.id + "\"," + run.tokens() + "," + run.made + ",5]");
            }
        }
        return "{" + MODELS + ",\"born\":" + born + ",\"busy\":false,"
                + "\"sequence\":1,\"queued\":0,\"active\":" + runs.size() + ",\"kv_cache_used\":" + used
                + ",\"kv_cache_total\":34323,\"handles\":" + handles.size() + ",\"state\":\""
                + (isDraining() ? "draining" : "ready") + "\",\"next\":0,\"runs\":[" + rows + "]}";
    }

    private void move(Http.Request request, OutputStream out) throws IOException {
        Matcher idMatcher = ID.matcher(request.text());
        Matcher targetMatcher = TARGET.matcher(request.text());
        boolean last = request.text().replace(" ", "").contains("\"last\":true");
        Run run = idMatcher.find() ? runs.get(idMatcher.group(1)) : null;
        Engine target = targetMatcher.find() ? ENGINES.get(targetMatcher.group(1)) : null;
        if (run == null || !run.started) {
            Http.respond(out, 404, Map.of(), new byte[0]);
            return;
        }
        synchronized (run) {
            if (run.moving) {
                Http.respond(out, 409, Map.of(), new byte[0]);
                return;
            }
            run.moving = true;
        }
        if (last) {
            // The run stops first, and its stream is closed without its end.
            run.stopped = true;
            rig.log(id + " stops " + run.id + " after event " + run.made + " for its move");
        }
        link.lock();
        try {
            int tokens = run.tokens();
            double millis = (tokens - run.copiedTokens) / TOKENS_PER_MILLI * (target != null && target.zone.equals(zone) ? 1 : 2);
            Rig.sleep((long) millis);
            run.copiedTokens = tokens;
        } finally {
            link.unlock();
            run.moving = false;
        }
        if (hasEnded()) {
            return;
        }
        String handle = "h" + handleNumber.incrementAndGet();
        handles.put(handle, run);
        Http.respond(
                out,
                200,
                Map.of("Content-Type", "application/json"),
                Http.bytes("{\"handle\":\"" + handle + "\",\"created\":" + run.made + "}"));
    }
}

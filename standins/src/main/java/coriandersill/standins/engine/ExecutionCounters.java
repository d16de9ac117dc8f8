package coriandersill.standins.engine;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What a stand-in ran, kept for checks from outside; safe for use by many threads. */
public final class ExecutionCounters {
    /** Where a stand-in shows its books over HTTP. */
    public static final String PATH = "/books";

    private final AtomicLong started = new AtomicLong();
    private final AtomicLong finished = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final AtomicLong tokens = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger mostRunning = new AtomicInteger();
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    ExecutionCounters() {}

    void begin(String requestId) {
        started.incrementAndGet();
        executions.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
        int now = running.incrementAndGet();
        mostRunning.accumulateAndGet(now, Math::max);
    }

    void token() {
        tokens.incrementAndGet();
    }

    void end(boolean byItself) {
        running.decrementAndGet();
        (byItself ? finished : cancelled).incrementAndGet();
    }

    /** Requests that were begun. */
    public long started() {
        return started.get();
    }

    /** Requests that ended by themselves. */
    public long finished() {
        return finished.get();
    }

    /** Requests that were cancelled or broke off. */
    public long cancelled() {
        return cancelled.get();
    }

    /** Tokens generated. */
    public long tokens() {
        return tokens.get();
    }

    /** Requests that run now. */
    public int running() {
        return running.get();
    }

    /** The most requests that ran at one time. */
    public int mostRunning() {
        return mostRunning.get();
    }

    /** How often each request was begun, by its idempotency key or else its request id. */
    public Map<String, Integer> executions() {
        Map<String, Integer> counts = new TreeMap<>();
        executions.forEach((key, count) -> counts.put(key, count.get()));
        return counts;
    }

    /**
     * Returns the books as JSON: {@code started}, {@code finished}, {@code tokens}, {@code mostRunning},
     * {@code executions}.
     */
    public JsonObject toJson() {
        JsonObject counts = new JsonObject();
        executions().forEach(counts::put);
        return new JsonObject()
                .put("started", started())
                .put("finished", finished())
                .put("cancelled", cancelled())
                .put("tokens", tokens())
                .put("mostRunning", mostRunning())
                .put("executions", counts);
    }
}

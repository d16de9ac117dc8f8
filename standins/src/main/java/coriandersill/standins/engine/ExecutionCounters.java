package coriandersill.standins.engine;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the requests that a stand-in executes, for assertions in tests; thread-safe. */
public final class ExecutionCounters {
    /** The HTTP path under which a stand-in serves its counters. */
    public static final String PATH = "/books";

    private final AtomicLong started = new AtomicLong();
    private final AtomicLong finished = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final AtomicLong tokens = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger maxRunning = new AtomicInteger();
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    ExecutionCounters() {}

    void recordStart(String requestKey) {
        started.incrementAndGet();
        executions.computeIfAbsent(requestKey, key -> new AtomicInteger()).incrementAndGet();
        int now = running.incrementAndGet();
        maxRunning.accumulateAndGet(now, Math::max);
    }

    void recordToken() {
        tokens.incrementAndGet();
    }

    void recordEnd(boolean completed) {
        running.decrementAndGet();
        (completed ? finished : cancelled).incrementAndGet();
    }

    /** Returns the number of requests started. */
    public long started() {
        return started.get();
    }

    /** Returns the number of requests that ran to completion. */
    public long finished() {
        return finished.get();
    }

    /** Returns the number of requests that were cancelled or failed. */
    public long cancelled() {
        return cancelled.get();
    }

    /** Returns the number of tokens generated. */
    public long tokens() {
        return tokens.get();
    }

    /** Returns the number of running requests. */
    public int running() {
        return running.get();
    }

    /** Returns the highest number of requests that ran at the same time. */
    public int maxRunning() {
        return maxRunning.get();
    }

    /** Returns how often each request was started, by idempotency key for plain services and request id for engines. */
    public Map<String, Integer> executions() {
        Map<String, Integer> counts = new TreeMap<>();
        executions.forEach((key, count) -> counts.put(key, count.get()));
        return counts;
    }

    /**
     * Returns the counters as JSON: {@code started}, {@code finished}, {@code cancelled}, {@code tokens},
     * {@code mostRunning}, {@code executions}.
     */
    public JsonObject toJson() {
        JsonObject counts = new JsonObject();
        executions().forEach(counts::put);
        return new JsonObject()
                .put("started", started())
                .put("finished", finished())
                .put("cancelled", cancelled())
                .put("tokens", tokens())
                .put("mostRunning", maxRunning())
                .put("executions", counts);
    }
}

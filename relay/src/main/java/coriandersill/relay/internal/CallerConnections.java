package coriandersill.relay.internal;

import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections of callers, with the number of calls that each of them carries. Thread-safe. */
final class CallerConnections {
    private final Map<HttpConnection, AtomicInteger> callCounts = new ConcurrentHashMap<>();

    /** Adds a connection until it is closed. */
    void add(HttpConnection connection) {
        callCounts.put(connection, new AtomicInteger());
        connection.closeHandler(closed -> callCounts.remove(connection));
    }

    /** Counts a call whose request has begun to arrive. */
    void callStarted(HttpConnection connection) {
        AtomicInteger count = callCounts.get(connection);
        if (count != null) {
            count.incrementAndGet();
        }
    }

    /** Counts that the response of a call is complete, or its caller gone. */
    void callEnded(HttpConnection connection) {
        AtomicInteger count = callCounts.get(connection);
        if (count != null) {
            count.decrementAndGet();
        }
    }

    /** Closes the connections without a call, whose callers then open new ones to other entries. */
    void closeIdle() {
        callCounts.forEach((connection, count) -> {
            if (count.get() == 0) {
                connection.close();
            }
        });
    }
}

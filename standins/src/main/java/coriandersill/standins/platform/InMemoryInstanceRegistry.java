package coriandersill.standins.platform;

import coriandersill.core.MonotonicClock;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The stand-in's list of instances: each renews its own line, and a line that is not renewed ages out.
 *
 * <p>The list that readers see lags behind by up to the given time. It may be used from any thread.
 */
public final class InMemoryInstanceRegistry {
    private final MonotonicClock clock;
    private final Duration maxAge;
    private final Duration lag;
    private final Map<String, Registration> lines = new ConcurrentSkipListMap<>();
    private final AtomicReference<Snapshot> published = new AtomicReference<>();

    private InMemoryInstanceRegistry(MonotonicClock clock, Duration maxAge, Duration lag) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.maxAge = Objects.requireNonNull(maxAge, "maxAge");
        this.lag = Objects.requireNonNull(lag, "lag");
    }

    /** Returns an empty list without lag whose lines age out after {@code maxAge}. */
    public static InMemoryInstanceRegistry of(Duration maxAge) {
        return of(MonotonicClock.system(), maxAge, Duration.ZERO);
    }

    /** Returns an empty list that readers see anew only after {@code lag}. */
    public static InMemoryInstanceRegistry of(MonotonicClock clock, Duration maxAge, Duration lag) {
        return new InMemoryInstanceRegistry(clock, maxAge, lag);
    }

    void put(String id, JsonObject instance) {
        lines.put(id, new Registration(instance.copy().put("id", id), clock.nanos()));
    }

    JsonObject toJson() {
        long now = clock.nanos();
        Snapshot last = published.get();
        if (last == null || now - last.nanos() >= lag.toNanos()) {
            lines.values().removeIf(line -> now - line.nanos() > maxAge.toNanos());
            JsonArray all = new JsonArray();
            lines.values().forEach(line -> all.add(line.instance()));
            last = new Snapshot(new JsonObject().put("instances", all), now);
            published.set(last);
        }
        return last.list();
    }

    private record Registration(JsonObject instance, long nanos) {}

    private record Snapshot(JsonObject list, long nanos) {}
}

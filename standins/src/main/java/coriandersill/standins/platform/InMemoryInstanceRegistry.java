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
 * A registry of instances. Each instance renews its own registration; one that is not renewed expires.
 *
 * <p>Readers see a list that is at most {@code maxStaleness} old. Instances of this class are thread-safe.
 */
public final class InMemoryInstanceRegistry {
    private final MonotonicClock clock;
    private final Duration maxAge;
    private final Duration maxStaleness;
    private final Map<String, Registration> registrations = new ConcurrentSkipListMap<>();
    private final AtomicReference<Snapshot> lastSnapshot = new AtomicReference<>();

    private InMemoryInstanceRegistry(MonotonicClock clock, Duration maxAge, Duration maxStaleness) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.maxAge = Objects.requireNonNull(maxAge, "maxAge");
        this.maxStaleness = Objects.requireNonNull(maxStaleness, "maxStaleness");
    }

    /** Returns an empty registry with an always current list, whose registrations expire after {@code maxAge}. */
    public static InMemoryInstanceRegistry of(Duration maxAge) {
        return of(MonotonicClock.system(), maxAge, Duration.ZERO);
    }

    /** Returns an empty registry whose list is updated once it is {@code maxStaleness} old. */
    public static InMemoryInstanceRegistry of(MonotonicClock clock, Duration maxAge, Duration maxStaleness) {
        return new InMemoryInstanceRegistry(clock, maxAge, maxStaleness);
    }

    void put(String id, JsonObject instance) {
        registrations.put(id, new Registration(instance.copy().put("id", id), clock.nanos()));
    }

    JsonObject toJson() {
        long now = clock.nanos();
        Snapshot snapshot = lastSnapshot.get();
        if (snapshot == null || now - snapshot.takenAtNanos() >= maxStaleness.toNanos()) {
            registrations.values().removeIf(registration -> now - registration.renewedAtNanos() > maxAge.toNanos());
            JsonArray all = new JsonArray();
            registrations.values().forEach(registration -> all.add(registration.instance()));
            snapshot = new Snapshot(new JsonObject().put("instances", all), now);
            lastSnapshot.set(snapshot);
        }
        return snapshot.instances();
    }

    private record Registration(JsonObject instance, long renewedAtNanos) {}

    private record Snapshot(JsonObject instances, long takenAtNanos) {}
}

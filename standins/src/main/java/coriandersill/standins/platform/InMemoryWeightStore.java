package coriandersill.standins.platform;

import coriandersill.core.MonotonicClock;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * A store of model weights, with a fixed set of them or, if the set is empty, with weights of any name; it grants one
 * load per interval.
 *
 * <p>Instances are thread-safe.
 */
public final class InMemoryWeightStore {
    private static final long DEFAULT_WEIGHT_BYTES = 1L << 30;
    private static final long NO_LOAD_YET = Long.MIN_VALUE;

    private final MonotonicClock clock;
    private final Map<String, Long> bytesByName;
    private final long minLoadIntervalNanos;
    private final AtomicLong nextLoadNanos = new AtomicLong(NO_LOAD_YET);

    private InMemoryWeightStore(MonotonicClock clock, Map<String, Long> bytesByName, Duration minLoadInterval) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.bytesByName = Map.copyOf(bytesByName);
        this.minLoadIntervalNanos = minLoadInterval.toNanos();
    }

    /** Returns a store that grants every load of weights of any name. */
    public static InMemoryWeightStore unlimited() {
        return new InMemoryWeightStore(MonotonicClock.system(), Map.of(), Duration.ZERO);
    }

    /** Returns a store of the named weights, with their sizes, that grants one load per {@code minLoadInterval}. */
    public static InMemoryWeightStore of(
            MonotonicClock clock, Map<String, Long> bytesByName, Duration minLoadInterval) {
        return new InMemoryWeightStore(clock, bytesByName, minLoadInterval);
    }

    void load(String name, BiConsumer<Integer, JsonObject> responder) {
        if (!bytesByName.isEmpty() && !bytesByName.containsKey(name)) {
            responder.accept(404, new JsonObject().put("error", "no weights " + name));
            return;
        }
        long now = clock.nanos();
        long next = nextLoadNanos.get();
        boolean granted = minLoadIntervalNanos == 0
                || ((next == NO_LOAD_YET || now - next >= 0)
                        && nextLoadNanos.compareAndSet(next, now + minLoadIntervalNanos));
        if (granted) {
            responder.accept(
                    200,
                    new JsonObject()
                            .put("name", name)
                            .put("bytes", bytesByName.getOrDefault(name, DEFAULT_WEIGHT_BYTES))
                            .put("url", "/weights/" + name + "/data"));
        } else {
            long waitMillis =
                    Math.max(1, Duration.ofNanos(nextLoadNanos.get() - now).toMillis());
            responder.accept(429, new JsonObject().put("error", "rate limit").put("retryAfterMillis", waitMillis));
        }
    }
}

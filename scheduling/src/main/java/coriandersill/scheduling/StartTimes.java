package coriandersill.scheduling;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How long the requests of each route take from their dispatch to their first event, learned from those that were
 * dispatched. Not thread-safe.
 */
public final class StartTimes {
    /** The weight of the newest observation in the expected time. */
    private static final double WEIGHT = 0.1;

    /** The expected time before any observation, as a fraction of the target latency. */
    private static final double INITIAL_FRACTION = 0.25;

    /** The expected time is at most this fraction of the target latency; more is a wait in an engine's queue. */
    private static final double MAX_FRACTION = 0.5;

    /** By how much the shortest time grows with each longer observation, so that it follows longer prompts. */
    private static final double SHORTEST_GROWTH = 0.02;

    /** Routes come from the configuration; this bounds the state if they change without end. */
    private static final int MAX_ROUTES = 1_000;

    private final Map<RouteName, Times> times = new HashMap<>();

    private record Times(double expectedNanos, double shortestNanos) {}

    /** Records that a request got its first event {@code nanos} after its dispatch. */
    public void record(RouteName route, long nanos) {
        if (nanos < 0) {
            return;
        }
        if (times.size() >= MAX_ROUTES && !times.containsKey(route)) {
            times.clear();
        }
        Times known = times.getOrDefault(route, new Times(nanos, nanos));
        times.put(
                route,
                new Times(
                        known.expectedNanos + WEIGHT * (nanos - known.expectedNanos),
                        known.shortestNanos
                                + (nanos > known.shortestNanos
                                        ? SHORTEST_GROWTH * (nanos - known.shortestNanos)
                                        : nanos - known.shortestNanos)));
    }

    /** Returns the time that a request is expected to take to its first event. */
    public Duration expected(RouteName route, Duration targetLatency) {
        Times known = times.get(route);
        double targetNanos = targetLatency.toNanos();
        double nanos = known == null ? INITIAL_FRACTION * targetNanos : known.expectedNanos;
        return Duration.ofNanos((long) Math.min(nanos, MAX_FRACTION * targetNanos));
    }

    /** Returns the least time that a request takes to its first event; zero if unknown. */
    public Duration shortest(RouteName route, Duration targetLatency) {
        Times known = times.get(route);
        double nanos = known == null ? 0 : Math.min(known.shortestNanos, MAX_FRACTION * targetLatency.toNanos());
        return Duration.ofNanos((long) nanos);
    }
}

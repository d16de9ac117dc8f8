package coriandersill.scheduling;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * The times at which refused callers were told to return. A request of the same workspace and route that arrives after
 * such a time takes the place that its first attempt had by age. Not thread-safe.
 */
final class PromisedReturns {
    /** How much earlier than told a caller may return, since its timer and the network vary. */
    private static final long EARLY_NANOS = Duration.ofMillis(20).toNanos();

    /** How long after the told time a caller may return. */
    private static final long KEPT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Bounds the state, also against callers that send the same request over and over. */
    private static final int MAX_PER_GROUP = 64;

    private static final int MAX_GROUPS = 256;

    private final Map<Group, Deque<Promise>> promises = new HashMap<>();

    private record Group(String workspace, RouteName route) {}

    /**
     * A promise.
     *
     * @param returnNanos when the caller was told to return
     * @param arrivedNanos when the refused request arrived
     * @param tokens the predicted memory of the request
     */
    private record Promise(long returnNanos, long arrivedNanos, long tokens) {}

    /** Adds a promise for the caller of {@code refused}; returns false if there are too many. */
    boolean add(WaitingRequest refused, Duration returnIn, long nowNanos) {
        removeExpired(nowNanos);
        Group group = new Group(refused.workspace(), refused.route());
        if (!promises.containsKey(group) && promises.size() >= MAX_GROUPS) {
            return false;
        }
        Deque<Promise> ofGroup = promises.computeIfAbsent(group, unused -> new ArrayDeque<>());
        if (ofGroup.size() >= MAX_PER_GROUP) {
            return false;
        }
        ofGroup.add(new Promise(nowNanos + returnIn.toNanos(), refused.arrivedNanos(), refused.tokens()));
        return true;
    }

    /** Takes a promise that {@code returned} may fulfil; returns when the first attempt of its caller arrived. */
    Optional<Long> take(WaitingRequest returned, long nowNanos) {
        removeExpired(nowNanos);
        Group group = new Group(returned.workspace(), returned.route());
        Deque<Promise> ofGroup = promises.getOrDefault(group, new ArrayDeque<>());
        Iterator<Promise> iterator = ofGroup.iterator();
        while (iterator.hasNext()) {
            Promise promise = iterator.next();
            if (nowNanos - promise.returnNanos() >= -EARLY_NANOS) {
                iterator.remove();
                if (ofGroup.isEmpty()) {
                    promises.remove(group);
                }
                return Optional.of(promise.arrivedNanos());
            }
        }
        return Optional.empty();
    }

    /** Returns the memory that is predicted for the requests that are to return, in tokens. */
    long tokens(long nowNanos) {
        removeExpired(nowNanos);
        return promises.values().stream()
                .flatMap(Deque::stream)
                .mapToLong(Promise::tokens)
                .sum();
    }

    private void removeExpired(long nowNanos) {
        promises.values()
                .forEach(ofGroup -> ofGroup.removeIf(promise -> nowNanos - promise.returnNanos() > KEPT_NANOS));
        promises.values().removeIf(Deque::isEmpty);
    }
}

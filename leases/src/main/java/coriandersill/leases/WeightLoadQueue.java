package coriandersill.leases;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Spaces loads of weights to the weight store's rate, by need.
 *
 * <pre>{@code
 * WeightLoadQueue queue = WeightLoadQueue.of(Duration.ofSeconds(2), 4, clock);
 * queue.offer(load);
 * queue.poll().forEach(this::order);
 * }</pre>
 *
 * <p>Starts are at least {@code spacing} apart and at most {@code maxRunning} run at once; an outage of the queue's
 * owner saves up no burst. Among the waiting, the version with the fewest loads under way for its need goes first, so
 * that no version takes every turn. Safe for use by many threads: one lock of rank {@link LockRank#LEASES} guards all
 * fields.
 */
public final class WeightLoadQueue {
    private record Target(InstanceId instance, String weights) {}

    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private final long spacingNanos;
    private final int maxRunning;
    private final MonotonicClock clock;
    private final Map<Target, WeightLoad> waiting = new HashMap<>();
    private final Map<Target, WeightLoad> running = new HashMap<>();
    private long nextStartNanos;

    private WeightLoadQueue(Duration spacing, int maxRunning, MonotonicClock clock) {
        this.spacingNanos = spacing.toNanos();
        this.maxRunning = maxRunning;
        this.clock = clock;
        this.nextStartNanos = clock.nanos();
    }

    /** Returns an empty queue; {@code spacing} is the store's time for each load. */
    public static WeightLoadQueue of(Duration spacing, int maxRunning, MonotonicClock clock) {
        if (spacing.isNegative() || maxRunning < 1) {
            throw new IllegalArgumentException(
                    "spacing, maxRunning: expected zero or more and 1 or more, found " + spacing + ", " + maxRunning);
        }
        return new WeightLoadQueue(spacing, maxRunning, clock);
    }

    /** Adds a load, or gives a waiting one its new need; one that runs is left as it is. */
    public void offer(WeightLoad load) {
        Target target = new Target(load.instance(), load.weights());
        lock.run(() -> {
            if (!running.containsKey(target)) {
                waiting.put(target, load);
            }
        });
    }

    /** Takes a load out that is no longer needed, or that has ended. */
    public void remove(InstanceId instance, String weights) {
        Target target = new Target(instance, weights);
        lock.run(() -> {
            waiting.remove(target);
            running.remove(target);
        });
    }

    /** Returns the loads to start now: none, or one. */
    public List<WeightLoad> poll() {
        return lock.with(() -> {
            long now = clock.nanos();
            if (waiting.isEmpty() || running.size() >= maxRunning || now - nextStartNanos < 0) {
                return List.of();
            }
            WeightLoad next = neediest();
            Target target = new Target(next.instance(), next.weights());
            waiting.remove(target);
            running.put(target, next);
            nextStartNanos = now + spacingNanos;
            return List.of(next);
        });
    }

    /** Puts a load back that the store refused, and starts no other one before {@code retryAfter}. */
    public void requeue(WeightLoad load, Duration retryAfter) {
        lock.run(() -> {
            Target target = new Target(load.instance(), load.weights());
            running.remove(target);
            waiting.put(target, load);
            nextStartNanos = Math.max(nextStartNanos, clock.nanos() + retryAfter.toNanos());
        });
    }

    /** How many loads wait. */
    public int waitingCount() {
        return lock.with(waiting::size);
    }

    private WeightLoad neediest() {
        List<WeightLoad> candidates = new ArrayList<>(waiting.values());
        candidates.sort(Comparator.comparingDouble((WeightLoad load) -> -load.demand() / (1 + underWay(load.weights())))
                .thenComparing(WeightLoad::instance)
                .thenComparing(WeightLoad::weights));
        return candidates.get(0);
    }

    private long underWay(String weights) {
        return running.values().stream()
                .filter(load -> load.weights().equals(weights))
                .count();
    }
}

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
 * Limits loads of weights to the rate of the weight store and orders them by demand.
 *
 * <pre>{@code
 * WeightLoadQueue queue = WeightLoadQueue.of(Duration.ofSeconds(2), 4, clock);
 * queue.offer(load);
 * queue.poll().forEach(this::startLoad);
 * }</pre>
 *
 * <p>Loads start at least {@code minStartInterval} apart, and at most {@code maxRunning} run concurrently. Starts
 * missed while {@link #poll} was not called are not made up for by a burst. Of the waiting loads, the one with the
 * highest ratio of its demand to one plus the number of running loads of the same weights is started first, so that
 * loads of the same weights do not occupy all slots. Thread-safe: a lock of rank {@link LockRank#LEASES} guards all
 * fields.
 */
public final class WeightLoadQueue {
    private record Target(InstanceId instance, String weights) {}

    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private final long minStartIntervalNanos;
    private final int maxRunning;
    private final MonotonicClock clock;
    private final Map<Target, WeightLoad> waiting = new HashMap<>();
    private final Map<Target, WeightLoad> running = new HashMap<>();
    private long nextStartNanos;

    private WeightLoadQueue(Duration minStartInterval, int maxRunning, MonotonicClock clock) {
        this.minStartIntervalNanos = minStartInterval.toNanos();
        this.maxRunning = maxRunning;
        this.clock = clock;
        this.nextStartNanos = clock.nanos();
    }

    /** Returns an empty queue; {@code minStartInterval} is the time that the store needs per load. */
    public static WeightLoadQueue of(Duration minStartInterval, int maxRunning, MonotonicClock clock) {
        if (minStartInterval.isNegative()) {
            throw new IllegalArgumentException("minStartInterval: expected at least 0, found " + minStartInterval);
        }
        if (maxRunning < 1) {
            throw new IllegalArgumentException("maxRunning: expected at least 1, found " + maxRunning);
        }
        return new WeightLoadQueue(minStartInterval, maxRunning, clock);
    }

    /** Adds a load or replaces a waiting one, which updates its demand; a running load is unchanged. */
    public void offer(WeightLoad load) {
        Target target = new Target(load.instance(), load.weights());
        lock.run(() -> {
            if (!running.containsKey(target)) {
                waiting.put(target, load);
            }
        });
    }

    /** Removes a load that is no longer needed or has ended. */
    public void remove(InstanceId instance, String weights) {
        Target target = new Target(instance, weights);
        lock.run(() -> {
            waiting.remove(target);
            running.remove(target);
        });
    }

    /** Returns the loads to start now, at most one. */
    public List<WeightLoad> poll() {
        return lock.with(() -> {
            long now = clock.nanos();
            if (waiting.isEmpty() || running.size() >= maxRunning || now - nextStartNanos < 0) {
                return List.of();
            }
            WeightLoad next = nextByDemand();
            Target target = new Target(next.instance(), next.weights());
            waiting.remove(target);
            running.put(target, next);
            nextStartNanos = now + minStartIntervalNanos;
            return List.of(next);
        });
    }

    /** Puts back a load that the store refused; no load is started before {@code retryAfter} has passed. */
    public void requeue(WeightLoad load, Duration retryAfter) {
        lock.run(() -> {
            Target target = new Target(load.instance(), load.weights());
            running.remove(target);
            waiting.put(target, load);
            nextStartNanos = Math.max(nextStartNanos, clock.nanos() + retryAfter.toNanos());
        });
    }

    /** The number of waiting loads. */
    public int waitingCount() {
        return lock.with(waiting::size);
    }

    private WeightLoad nextByDemand() {
        List<WeightLoad> candidates = new ArrayList<>(waiting.values());
        candidates.sort(
                Comparator.comparingDouble((WeightLoad load) -> -load.demand() / (1 + runningCount(load.weights())))
                        .thenComparing(WeightLoad::instance)
                        .thenComparing(WeightLoad::weights));
        return candidates.get(0);
    }

    private long runningCount(String weights) {
        return running.values().stream()
                .filter(load -> load.weights().equals(weights))
                .count();
    }
}

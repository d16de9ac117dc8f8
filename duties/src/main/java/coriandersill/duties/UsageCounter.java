package coriandersill.duties;

import coriandersill.core.MonotonicClock;
import coriandersill.core.WorkspaceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests that upstreams began for this entry, by workspace and by short steps of its monotonic clock.
 *
 * <p>Whoever asks for the counts of a window states how long ago it began. So a jump of this machine's wall clock
 * changes nothing, and a window is assigned by one estimate of the true time for all entries. Thread-safe: a lock of
 * rank {@link LockRank#QUOTA} guards all fields.
 */
public final class UsageCounter {
    /** The minimum step of time; the edges of a window of 5 s are exact within 1% of it. */
    private static final long MIN_STEP_NANOS = Duration.ofMillis(50).toNanos();

    /** The number of steps that are kept; bounds the memory for long windows. */
    private static final int MAX_STEPS = 1_200;

    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final TreeMap<Long, Map<WorkspaceName, Long>> steps = new TreeMap<>();
    private final MonotonicClock clock;
    private final long originNanos;
    private final long stepNanos;
    private final long keptSteps;

    private UsageCounter(MonotonicClock clock, Duration keptTime) {
        this.clock = clock;
        this.originNanos = clock.nanos();
        this.stepNanos = Math.max(MIN_STEP_NANOS, keptTime.toNanos() / MAX_STEPS);
        this.keptSteps = keptTime.toNanos() / stepNanos;
    }

    /** Returns a counter that keeps its counts for {@code keptTime}. */
    public static UsageCounter create(MonotonicClock clock, Duration keptTime) {
        return new UsageCounter(clock, keptTime);
    }

    /** Counts a request that an upstream has just begun. */
    public void count(WorkspaceName workspace) {
        lock.run(() -> {
            long step = step(clock.nanos());
            steps.computeIfAbsent(step, ignored -> new HashMap<>()).merge(workspace, 1L, Long::sum);
            steps.headMap(step - keptSteps).clear();
        });
    }

    /** Returns the requests of each workspace begun between two times of the clock, rounded to steps. */
    public Map<WorkspaceName, Long> counts(long fromNanos, long toNanos) {
        return lock.with(() -> {
            long from = step(fromNanos);
            long to = step(toNanos);
            Map<WorkspaceName, Long> sums = new TreeMap<>();
            if (from < to) {
                steps.subMap(from, to)
                        .values()
                        .forEach(counts -> counts.forEach((name, count) -> sums.merge(name, count, Long::sum)));
            }
            return sums;
        });
    }

    /** Returns the number of steps that are kept. */
    int steps() {
        return lock.with(steps::size);
    }

    private long step(long nanos) {
        return Math.floorDiv(nanos - originNanos, stepNanos);
    }
}

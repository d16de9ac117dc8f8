package coriandersill.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/** Tracks which entries are affected by injected faults, and since when the other entries have been unaffected. */
final class DisturbanceTracker {
    /**
     * How long an entry must have been undisturbed before time limits are checked, because it may still be recovering
     * from a fault.
     */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    private final LongSupplier nanoClock;
    private final Map<String, Integer> activeDisturbances = new ConcurrentHashMap<>();
    private final Map<String, Long> undisturbedSinceNanos = new ConcurrentHashMap<>();

    private final Map<String, List<Long>> stopSignals = new ConcurrentHashMap<>();
    private final Map<String, List<Long>> reloadSignals = new ConcurrentHashMap<>();
    private final Map<String, List<Interval>> slowTimes = new ConcurrentHashMap<>();
    private final Map<String, List<Interval>> interruptions = new ConcurrentHashMap<>();

    /** A time in which a process was stopped, killed or paused, or a link was disturbed; open ones end never. */
    private record Interval(long fromNanos, long toNanos) {}

    private DisturbanceTracker(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Returns a tracker that reads a clock of nanoseconds, such as {@link System#nanoTime}. */
    static DisturbanceTracker of(LongSupplier nanoClock) {
        return new DisturbanceTracker(nanoClock);
    }

    /** Records that an entry has just become ready; it settles from now on. */
    synchronized void started(String entry) {
        undisturbedSinceNanos.put(entry, nanoClock.getAsLong());
    }

    /**
     * Records that an entry stops, is killed or is paused, or that the link of an upstream is disturbed, from now on.
     */
    synchronized void interruptionStarted(String name) {
        interruptions
                .computeIfAbsent(name, key -> new ArrayList<>())
                .add(new Interval(nanoClock.getAsLong(), Long.MAX_VALUE));
    }

    /** Records the end of the oldest open interruption. */
    synchronized void interruptionEnded(String name) {
        List<Interval> intervals = interruptions.get(name);
        for (int i = 0; i < intervals.size(); i++) {
            if (intervals.get(i).toNanos() == Long.MAX_VALUE) {
                intervals.set(i, new Interval(intervals.get(i).fromNanos(), nanoClock.getAsLong()));
                return;
            }
        }
    }

    /** Records that a process, or everything, was slowed by other programs for a time that has ended. */
    synchronized void slowed(String name, long fromNanos, long toNanos) {
        slowTimes.computeIfAbsent(name, key -> new ArrayList<>()).add(new Interval(fromNanos, toNanos));
    }

    /** Returns for how long at most some of the names were slowed in a time. */
    synchronized long slowedNanos(List<String> names, long fromNanos, long toNanos) {
        List<Interval> overlapping = names.stream()
                .flatMap(name -> slowTimes.getOrDefault(name, List.of()).stream())
                .filter(interval -> interval.fromNanos() < toNanos && interval.toNanos() > fromNanos)
                .sorted(Comparator.comparingLong(Interval::fromNanos))
                .toList();
        long slowNanos = 0;
        long countedUntilNanos = fromNanos;
        for (Interval interval : overlapping) {
            long untilNanos = Math.min(interval.toNanos(), toNanos);
            slowNanos += Math.max(0, untilNanos - Math.max(interval.fromNanos(), countedUntilNanos));
            countedUntilNanos = Math.max(countedUntilNanos, untilNanos);
        }
        return slowNanos;
    }

    /** Returns whether an interruption overlaps a time. */
    synchronized boolean isInterrupted(String name, long fromNanos, long toNanos) {
        return interruptions.getOrDefault(name, List.of()).stream()
                .anyMatch(interval -> interval.fromNanos() < toNanos && interval.toNanos() > fromNanos);
    }

    /** Returns the first moment from a given one on that no interruption has come near to for a time before it. */
    synchronized long firstUninterruptedNanos(String name, long fromNanos, Duration settlingTime) {
        long foundNanos = fromNanos;
        List<Interval> inOrder = interruptions.getOrDefault(name, List.of()).stream()
                .sorted(Comparator.comparingLong(Interval::fromNanos))
                .toList();
        for (Interval interval : inOrder) {
            boolean near = interval.fromNanos() < foundNanos
                    && (interval.toNanos() == Long.MAX_VALUE
                            || interval.toNanos() + settlingTime.toNanos() > foundNanos);
            if (near) {
                foundNanos = interval.toNanos() == Long.MAX_VALUE
                        ? Long.MAX_VALUE
                        : interval.toNanos() + settlingTime.toNanos();
            }
        }
        return foundNanos;
    }

    /** Records that an entry is signalled to stop now. */
    synchronized void stopSignalled(String entry) {
        stopSignals.computeIfAbsent(entry, key -> new ArrayList<>()).add(nanoClock.getAsLong());
    }

    /** Records that an entry is signalled now that its settings have changed. */
    synchronized void reloadSignalled(String entry) {
        reloadSignals.computeIfAbsent(entry, key -> new ArrayList<>()).add(nanoClock.getAsLong());
    }

    /** When an entry was last signalled to stop before a time; null if never. */
    synchronized Long lastStopSignal(String entry, long beforeNanos) {
        return stopSignals.getOrDefault(entry, List.of()).stream()
                .filter(atNanos -> atNanos < beforeNanos)
                .max(Long::compare)
                .orElse(null);
    }

    /** When an entry was signalled that its settings have changed. */
    synchronized Stream<Long> reloadSignals(String entry) {
        return List.copyOf(reloadSignals.getOrDefault(entry, List.of())).stream();
    }

    /** Records the start of a disturbance of an entry. */
    synchronized void disturbanceStarted(String entry) {
        activeDisturbances.merge(entry, 1, Integer::sum);
    }

    /** Records the end of one disturbance of an entry. */
    synchronized void disturbanceEnded(String entry) {
        activeDisturbances.merge(entry, -1, Integer::sum);
        undisturbedSinceNanos.put(entry, nanoClock.getAsLong());
    }

    /** Whether an entry has been undisturbed long enough for time limits to apply. */
    synchronized boolean isSettled(String entry) {
        return activeDisturbances.getOrDefault(entry, 0) == 0
                && nanoClock.getAsLong() - undisturbedSinceNanos.getOrDefault(entry, nanoClock.getAsLong())
                        > SETTLING_TIME.toNanos();
    }
}

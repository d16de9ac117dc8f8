package coriandersill.soak;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Tracks which entries are affected by injected faults, and since when the other entries have been unaffected. */
final class DisturbanceTracker {
    /**
     * How long an entry must have been undisturbed before time limits are checked, because it may still be recovering
     * from a fault.
     */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    private final Map<String, Integer> activeDisturbances = new ConcurrentHashMap<>();
    private final Map<String, Long> undisturbedSinceNanos = new ConcurrentHashMap<>();

    /** Records the start of a disturbance of an entry. */
    synchronized void disturbanceStarted(String entry) {
        activeDisturbances.merge(entry, 1, Integer::sum);
    }

    /** Records the end of one disturbance of an entry. */
    synchronized void disturbanceEnded(String entry) {
        activeDisturbances.merge(entry, -1, Integer::sum);
        undisturbedSinceNanos.put(entry, System.nanoTime());
    }

    /** Whether an entry has been undisturbed long enough for time limits to apply. */
    synchronized boolean isSettled(String entry) {
        return activeDisturbances.getOrDefault(entry, 0) == 0
                && System.nanoTime() - undisturbedSinceNanos.getOrDefault(entry, System.nanoTime())
                        > SETTLING_TIME.toNanos();
    }
}

package coriandersill.soak;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Knows which entries have been undisturbed, and for how long. */
final class DisturbanceTracker {
    /** Bounds in time hold for entries that were undisturbed for so long. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    private final Map<String, Integer> activeDisturbances = new ConcurrentHashMap<>();
    private final Map<String, Long> undisturbedSince = new ConcurrentHashMap<>();

    /** Notes that something disturbs an entry from now on. */
    synchronized void disturbanceStarted(String entry) {
        activeDisturbances.merge(entry, 1, Integer::sum);
    }

    /** Notes that one of the disturbances of an entry is over. */
    synchronized void disturbanceEnded(String entry) {
        activeDisturbances.merge(entry, -1, Integer::sum);
        undisturbedSince.put(entry, System.nanoTime());
    }

    /** Whether an entry has been undisturbed long enough for bounds in time to hold. */
    synchronized boolean isSettled(String entry) {
        return activeDisturbances.getOrDefault(entry, 0) == 0
                && System.nanoTime() - undisturbedSince.getOrDefault(entry, System.nanoTime())
                        > SETTLING_TIME.toNanos();
    }
}

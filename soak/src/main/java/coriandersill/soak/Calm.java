package coriandersill.soak;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Knows which entries have been undisturbed, and for how long. */
final class Calm {
    /** Bounds in time hold for entries that were undisturbed for so long. */
    private static final Duration SETTLING = Duration.ofSeconds(3);

    private final Map<String, Integer> disturbances = new ConcurrentHashMap<>();
    private final Map<String, Long> calmSince = new ConcurrentHashMap<>();

    /** Notes that something disturbs an entry from now on. */
    synchronized void disturbed(String entry) {
        disturbances.merge(entry, 1, Integer::sum);
    }

    /** Notes that one of the disturbances of an entry is over. */
    synchronized void over(String entry) {
        disturbances.merge(entry, -1, Integer::sum);
        calmSince.put(entry, System.nanoTime());
    }

    /** Whether an entry has been undisturbed long enough for bounds in time to hold. */
    synchronized boolean holds(String entry) {
        return disturbances.getOrDefault(entry, 0) == 0
                && System.nanoTime() - calmSince.getOrDefault(entry, System.nanoTime()) > SETTLING.toNanos();
    }
}

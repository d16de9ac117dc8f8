package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.time.Duration;

/**
 * Checks how old the list of upstreams is by which an entry chooses them: with one older than the time that entries
 * have after a departure, a request may reach an upstream later than that.
 */
final class ListingsAgeChecker {
    private static final Duration MAX_AGE = PlatformFixtures.drainTime();

    private final DisturbanceTracker disturbances;

    ListingsAgeChecker(DisturbanceTracker disturbances) {
        this.disturbances = disturbances;
    }

    /** Returns the limit, without the time for which an entry was slowed. */
    static Duration maxAge() {
        return MAX_AGE;
    }

    /** Returns whether the list of a settled entry is too old; the time for which it was slowed does not count. */
    boolean isTooOld(String entry, Duration age, long nowNanos) {
        long confirmedAtNanos = nowNanos - age.toNanos();
        long slowedNanos = SlowdownMonitor.slowedNanos(disturbances, entry, confirmedAtNanos, nowNanos);
        return age.toNanos() - slowedNanos > MAX_AGE.toNanos();
    }
}

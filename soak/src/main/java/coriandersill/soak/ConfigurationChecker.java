package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Checks that settled entries know an API key in time after the store accepted a configuration that adds it. */
final class ConfigurationChecker {
    private static final Duration MAX_REACTION_TIME = PlatformFixtures.configurationTime();

    /** Statuses of calls whose key or route is not known. */
    private static final Set<Integer> UNKNOWN_STATUSES = Set.of(401, 403, 404);

    private ConfigurationChecker() {}

    /**
     * Returns a description of each violation found.
     *
     * @param addedAtNanos by key, when the store had accepted it
     * @param revokedAtNanos by key, when it was removed
     */
    static List<String> violations(
            List<CallResult> calls,
            Map<String, Long> addedAtNanos,
            Map<String, Long> revokedAtNanos,
            DisturbanceTracker disturbances) {
        return calls.stream()
                .filter(CallResult::entrySettled)
                .filter(call -> UNKNOWN_STATUSES.contains(call.status()) && !revokedAtNanos.containsKey(call.key()))
                .filter(call -> lateNanos(call, addedAtNanos.get(call.key()), disturbances) > 0)
                .map(call -> "CONFIG: not known "
                        + TimeUnit.NANOSECONDS.toMillis(call.sentAtNanos() - addedAtNanos.get(call.key()))
                        + " ms after the store accepted the key: " + call)
                .toList();
    }

    /** Returns by how much a call was sent later than its key had to be known. */
    private static long lateNanos(CallResult call, long addedAtNanos, DisturbanceTracker disturbances) {
        long slowedNanos = SlowdownMonitor.slowedNanos(disturbances, call.entry(), addedAtNanos, call.endedAtNanos());
        return call.sentAtNanos() - addedAtNanos - slowedNanos - MAX_REACTION_TIME.toNanos();
    }
}

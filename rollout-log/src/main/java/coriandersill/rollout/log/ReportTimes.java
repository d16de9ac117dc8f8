package coriandersill.rollout.log;

import coriandersill.core.InstanceId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The times at which entries last reported evidence; guarded by a lock of rank {@link LockRank#ROLLOUT}. */
final class ReportTimes {
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final Map<InstanceId, Long> lastReportMillis = new HashMap<>();

    void record(InstanceId source, long nowMillis) {
        lock.run(() -> lastReportMillis.put(source, nowMillis));
    }

    /** Whether each of {@code entries} has reported at or after {@code sinceMillis}; removes all other entries. */
    boolean allReportedSince(Collection<InstanceId> entries, long sinceMillis) {
        return lock.with(() -> {
            lastReportMillis.keySet().retainAll(entries);
            return entries.stream()
                    .allMatch(entry -> lastReportMillis.getOrDefault(entry, Long.MIN_VALUE) >= sinceMillis);
        });
    }
}

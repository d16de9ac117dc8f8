package coriandersill.rollout.log;

import coriandersill.core.InstanceId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** When each entry last reported its evidence; guarded by a lock of rank {@link LockRank#ROLLOUT}. */
final class ReportTimes {
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final Map<InstanceId, Long> times = new HashMap<>();

    void reported(InstanceId source, long nowMillis) {
        lock.run(() -> times.put(source, nowMillis));
    }

    /** Whether each of {@code entries} has reported since {@code sinceMillis}; forgets all others. */
    boolean complete(Collection<InstanceId> entries, long sinceMillis) {
        return lock.with(() -> {
            times.keySet().retainAll(entries);
            return entries.stream().allMatch(entry -> times.getOrDefault(entry, Long.MIN_VALUE) >= sinceMillis);
        });
    }
}

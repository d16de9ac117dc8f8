package coriandersill.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The ranks of the requests that arrived lately. Not thread-safe. */
final class RanksInUse {
    private static final long USED_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<Integer, Long> lastUsedNanos = new HashMap<>();

    void record(int rank, long nowNanos) {
        lastUsedNanos.values().removeIf(usedNanos -> nowNanos - usedNanos > USED_NANOS);
        lastUsedNanos.put(rank, nowNanos);
    }

    /** Returns the rank of the most urgent requests; 0 if there were none. */
    int mostUrgent() {
        return lastUsedNanos.keySet().stream().min(Integer::compare).orElse(0);
    }
}

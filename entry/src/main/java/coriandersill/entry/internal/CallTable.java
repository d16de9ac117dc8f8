package coriandersill.entry.internal;

import coriandersill.core.CallId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The open calls of one entry by id; guarded by a lock of rank {@link LockRank#STREAMS}. */
final class CallTable {
    private final RankedLock lock = RankedLock.of(LockRank.STREAMS);
    private final Map<CallId, CallDriver> calls = new HashMap<>();

    void add(CallDriver call) {
        lock.run(() -> calls.put(call.id(), call));
    }

    void remove(CallDriver call) {
        lock.run(() -> calls.remove(call.id(), call));
    }

    Optional<CallDriver> find(CallId id) {
        return Optional.ofNullable(lock.with(() -> calls.get(id)));
    }

    List<CallDriver> openCalls() {
        return lock.with(() -> List.copyOf(calls.values()));
    }

    int size() {
        return lock.with(calls::size);
    }
}

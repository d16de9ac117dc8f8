package coriandersill.relay.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The open generations by engine; guarded by a lock of rank {@link LockRank#STREAMS}. */
final class GenerationTable {
    private final RankedLock lock = RankedLock.of(LockRank.STREAMS);
    private final Map<InstanceId, Set<GenerationCall>> open = new HashMap<>();

    void add(InstanceId engine, GenerationCall call) {
        lock.run(() -> open.computeIfAbsent(engine, id -> new HashSet<>()).add(call));
    }

    void remove(InstanceId engine, GenerationCall call) {
        lock.run(() -> {
            Set<GenerationCall> calls = open.get(engine);
            if (calls != null && calls.remove(call) && calls.isEmpty()) {
                open.remove(engine);
            }
        });
    }

    /** Returns the callers' identifiers of the generations that are open at an engine. */
    Set<String> ids(InstanceId engine) {
        return lock.with(() -> open.getOrDefault(engine, Set.of()).stream()
                .map(GenerationCall::id)
                .collect(Collectors.toUnmodifiableSet()));
    }

    /** Returns the generations that are open at an engine and go on elsewhere only from a copy. */
    List<GenerationCall> movable(InstanceId engine) {
        return lock.with(() -> open.getOrDefault(engine, Set.of()).stream()
                .filter(GenerationCall::worthMoving)
                .toList());
    }
}

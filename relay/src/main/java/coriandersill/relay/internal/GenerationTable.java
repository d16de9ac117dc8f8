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
    private final Map<InstanceId, Set<GenerationCall>> generationsByEngine = new HashMap<>();

    void add(InstanceId engine, GenerationCall call) {
        lock.run(() -> generationsByEngine
                .computeIfAbsent(engine, id -> new HashSet<>())
                .add(call));
    }

    void remove(InstanceId engine, GenerationCall call) {
        lock.run(() -> {
            Set<GenerationCall> calls = generationsByEngine.get(engine);
            if (calls != null && calls.remove(call) && calls.isEmpty()) {
                generationsByEngine.remove(engine);
            }
        });
    }

    /** Returns the call identifiers of the generations that are open on an engine. */
    Set<String> callIds(InstanceId engine) {
        return lock.with(() -> generationsByEngine.getOrDefault(engine, Set.of()).stream()
                .map(GenerationCall::callId)
                .collect(Collectors.toUnmodifiableSet()));
    }

    /** Returns the generations that are open on an engine, have not begun, and may be sent to another one. */
    List<GenerationCall> restartable(InstanceId engine) {
        return lock.with(() -> generationsByEngine.getOrDefault(engine, Set.of()).stream()
                .filter(GenerationCall::isRestartable)
                .toList());
    }

    /** Returns the generations that are open on an engine and are to be moved if it leaves. */
    List<GenerationCall> movable(InstanceId engine) {
        return lock.with(() -> generationsByEngine.getOrDefault(engine, Set.of()).stream()
                .filter(GenerationCall::isMovable)
                .toList());
    }
}

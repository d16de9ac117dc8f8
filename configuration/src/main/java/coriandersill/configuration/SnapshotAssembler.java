package coriandersill.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Collects the parts of snapshots that are newer than the accepted state. */
final class SnapshotAssembler {
    private static final int MAX_PARTIAL = 4;

    /** Whether a snapshot is newer than the state, by position or because it begins a later epoch. */
    boolean useful(ConfigurationState state, SnapshotChunk chunk) {
        return chunk.asOf() > state.position() || chunk.epoch() > StreamPosition.epoch(state.position());
    }

    ConfigurationState collect(ConfigurationState state, SnapshotChunk chunk) {
        Map<String, List<SnapshotChunk>> partial = new HashMap<>(state.partialSnapshots());
        List<SnapshotChunk> parts = new ArrayList<>(partial.getOrDefault(chunk.snapshotId(), List.of()));
        parts.removeIf(part -> part.index() == chunk.index());
        parts.add(chunk);
        partial.put(chunk.snapshotId(), List.copyOf(parts));
        if (partial.size() > MAX_PARTIAL) {
            partial.entrySet().stream()
                    .min(Comparator.comparingLong(
                            entry -> entry.getValue().get(0).asOf()))
                    .ifPresent(oldest -> partial.remove(oldest.getKey()));
        }
        return state.withPartialSnapshots(partial);
    }

    Optional<AcceptedState> complete(ConfigurationState state, SnapshotChunk last) {
        List<SnapshotChunk> parts = state.partialSnapshots().getOrDefault(last.snapshotId(), List.of());
        if (parts.size() < last.count()) {
            return Optional.empty();
        }
        return Optional.of(SnapshotChunk.join(parts.stream()
                .sorted(Comparator.comparingInt(SnapshotChunk::index))
                .toList()));
    }

    /** Drops the parts of a snapshot and of those that are no newer. */
    ConfigurationState forget(ConfigurationState state, SnapshotChunk adopted) {
        Map<String, List<SnapshotChunk>> partial = new HashMap<>(state.partialSnapshots());
        partial.values().removeIf(parts -> parts.get(0).asOf() <= adopted.asOf());
        return state.withPartialSnapshots(partial);
    }
}

package coriandersill.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Assembles snapshots that are newer than the accepted state from their chunks. */
final class SnapshotAssembler {
    /** Bounds the memory used by snapshots that never become complete; the oldest is discarded. */
    private static final int MAX_PARTIAL_SNAPSHOTS = 4;

    /** Returns whether a snapshot is newer than the state, by its position or because it starts a later epoch. */
    boolean isNewer(ConfigurationState state, SnapshotChunk chunk) {
        return chunk.asOf() > state.position() || chunk.epoch() > StreamPosition.epoch(state.position());
    }

    /** Returns the state with a chunk added to its partial snapshot. */
    ConfigurationState add(ConfigurationState state, SnapshotChunk chunk) {
        Map<String, List<SnapshotChunk>> partial = new HashMap<>(state.partialSnapshots());
        List<SnapshotChunk> chunks = new ArrayList<>(partial.getOrDefault(chunk.snapshotId(), List.of()));
        chunks.removeIf(other -> other.index() == chunk.index());
        chunks.add(chunk);
        partial.put(chunk.snapshotId(), List.copyOf(chunks));
        if (partial.size() > MAX_PARTIAL_SNAPSHOTS) {
            partial.entrySet().stream()
                    .min(Comparator.comparingLong(
                            entry -> entry.getValue().get(0).asOf()))
                    .ifPresent(oldest -> partial.remove(oldest.getKey()));
        }
        return state.withPartialSnapshots(partial);
    }

    /** Returns the snapshot that {@code chunk} belongs to if all of its chunks have been read. */
    Optional<AcceptedState> assemble(ConfigurationState state, SnapshotChunk chunk) {
        List<SnapshotChunk> chunks = state.partialSnapshots().getOrDefault(chunk.snapshotId(), List.of());
        if (chunks.size() < chunk.count()) {
            return Optional.empty();
        }
        return Optional.of(SnapshotChunk.join(chunks.stream()
                .sorted(Comparator.comparingInt(SnapshotChunk::index))
                .toList()));
    }

    /** Discards the chunks of an adopted snapshot and of all partial snapshots that are not newer. */
    ConfigurationState discardUpTo(ConfigurationState state, SnapshotChunk adopted) {
        Map<String, List<SnapshotChunk>> partial = new HashMap<>(state.partialSnapshots());
        partial.values().removeIf(chunks -> chunks.get(0).asOf() <= adopted.asOf());
        return state.withPartialSnapshots(partial);
    }
}

package coriandersill.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * One part of a snapshot: the accepted state, published again before its changes age out of the log.
 *
 * @param snapshotId the same for all parts of one snapshot, unique among snapshots
 * @param epoch the epoch that the snapshot belongs to; one above that of {@code asOf} when it restarts the stream
 * @param asOf the position of the state
 * @param index the number of this part, from 0
 * @param count the number of parts
 * @param documents some of the documents, with their accepted versions
 * @param history some of the history, oldest first
 * @param historyFloor the state's history floor
 */
public record SnapshotChunk(
        String snapshotId,
        long epoch,
        long asOf,
        int index,
        int count,
        List<VersionedDocument> documents,
        List<HistoryEntry> history,
        long historyFloor)
        implements ConfigurationRecord {

    /** Copies the lists; refuses null and an index out of range. */
    public SnapshotChunk {
        Objects.requireNonNull(snapshotId, "snapshotId");
        documents = List.copyOf(documents);
        history = List.copyOf(history);
        if (index < 0 || index >= count) {
            throw new IllegalArgumentException("index: expected from 0 to " + (count - 1) + ", found " + index);
        }
    }

    /** Cuts a state into parts of at most {@code perChunk} documents or history entries, for its own epoch. */
    public static List<SnapshotChunk> split(String snapshotId, AcceptedState state, int perChunk) {
        return split(snapshotId, StreamPosition.epoch(state.position()), state, perChunk);
    }

    /** Cuts a state into parts for a stream whose offsets have restarted: the parts begin the next epoch. */
    public static List<SnapshotChunk> splitForNextEpoch(String snapshotId, AcceptedState state, int perChunk) {
        return split(snapshotId, StreamPosition.epoch(state.position()) + 1, state, perChunk);
    }

    private static List<SnapshotChunk> split(String snapshotId, long epoch, AcceptedState state, int perChunk) {
        List<VersionedDocument> documents = new ArrayList<>(state.documents().values());
        documents.sort(Comparator.comparing(versioned -> versioned.document().documentName()));
        int documentChunks = Math.max(1, (documents.size() + perChunk - 1) / perChunk);
        int historyChunks = (state.history().size() + perChunk - 1) / perChunk;
        int count = documentChunks + historyChunks;
        List<SnapshotChunk> chunks = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            List<VersionedDocument> someDocuments = slice(documents, i, perChunk);
            List<HistoryEntry> someHistory = slice(state.history(), i - documentChunks, perChunk);
            chunks.add(new SnapshotChunk(
                    snapshotId, epoch, state.position(), i, count, someDocuments, someHistory, state.historyFloor()));
        }
        return chunks;
    }

    /** Joins all parts of one snapshot, in order of their index. */
    static AcceptedState join(List<SnapshotChunk> chunks) {
        Map<DocumentName, VersionedDocument> documents = new HashMap<>();
        List<HistoryEntry> history = new ArrayList<>();
        for (SnapshotChunk chunk : chunks) {
            for (VersionedDocument versioned : chunk.documents()) {
                documents.put(versioned.document().documentName(), versioned);
            }
            history.addAll(chunk.history());
        }
        SnapshotChunk first = chunks.get(0);
        return new AcceptedState(first.asOf(), documents, history, first.historyFloor());
    }

    private static <T> List<T> slice(List<T> all, int index, int size) {
        if (index < 0 || index * size >= all.size()) {
            return List.of();
        }
        return all.subList(index * size, Math.min(all.size(), (index + 1) * size));
    }
}

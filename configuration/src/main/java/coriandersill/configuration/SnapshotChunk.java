package coriandersill.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * One chunk of a snapshot of the accepted state. Snapshots are published to the log so that the state outlives the
 * retention of the change sets it was built from.
 *
 * @param snapshotId the unique id of the snapshot, shared by all of its chunks
 * @param epoch the epoch of the snapshot; one above the epoch of {@code asOf} if it is published after a restart of the
 *     stream's offsets
 * @param asOf the position of the accepted state
 * @param index the index of this chunk, from 0
 * @param count the number of chunks
 * @param documents this chunk's part of the documents, with their versions
 * @param history this chunk's part of the history, oldest first
 * @param historyFloor the history floor of the accepted state
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

    /** Copies the lists; rejects null and an index out of range. */
    public SnapshotChunk {
        Objects.requireNonNull(snapshotId, "snapshotId");
        documents = List.copyOf(documents);
        history = List.copyOf(history);
        if (index < 0 || index >= count) {
            throw new IllegalArgumentException("index: expected from 0 to " + (count - 1) + ", found " + index);
        }
    }

    /** Splits a state into chunks of at most {@code maxPerChunk} documents or history entries, in the state's epoch. */
    public static List<SnapshotChunk> split(String snapshotId, AcceptedState state, int maxPerChunk) {
        return split(snapshotId, StreamPosition.epoch(state.position()), state, maxPerChunk);
    }

    /** Splits a state into chunks that start the next epoch, for a stream whose offsets have restarted. */
    public static List<SnapshotChunk> splitForNextEpoch(String snapshotId, AcceptedState state, int maxPerChunk) {
        return split(snapshotId, StreamPosition.epoch(state.position()) + 1, state, maxPerChunk);
    }

    /** Splits a state; the chunks with documents, at least one, come before those with history entries. */
    private static List<SnapshotChunk> split(String snapshotId, long epoch, AcceptedState state, int maxPerChunk) {
        List<VersionedDocument> documents = new ArrayList<>(state.documents().values());
        documents.sort(Comparator.comparing(versioned -> versioned.document().documentName()));
        int documentChunks = Math.max(1, (documents.size() + maxPerChunk - 1) / maxPerChunk);
        int historyChunks = (state.history().size() + maxPerChunk - 1) / maxPerChunk;
        int count = documentChunks + historyChunks;
        List<SnapshotChunk> chunks = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            List<VersionedDocument> chunkDocuments = slice(documents, i, maxPerChunk);
            List<HistoryEntry> chunkHistory = slice(state.history(), i - documentChunks, maxPerChunk);
            chunks.add(new SnapshotChunk(
                    snapshotId, epoch, state.position(), i, count, chunkDocuments, chunkHistory, state.historyFloor()));
        }
        return chunks;
    }

    /** Joins all chunks of one snapshot, given in order of their index. */
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

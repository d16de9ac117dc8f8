package coriandersill.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The accepted documents with their versions at one position of the stream, immutable; equal in every process.
 *
 * @param position the last position that is part of it
 * @param documents the documents by name
 * @param history the last decided change sets, oldest first, at most {@link #MAX_HISTORY_ENTRIES}
 * @param historyFloor the position of the newest change set that is no longer in the history; -1 when all are
 */
public record AcceptedState(
        long position, Map<DocumentName, VersionedDocument> documents, List<HistoryEntry> history, long historyFloor) {
    /** The number of change sets that are remembered, and so the window in which a repeated one is recognised. */
    public static final int MAX_HISTORY_ENTRIES = 1024;

    /** Freezes the collections, which the caller does not change afterwards. */
    public AcceptedState {
        documents = Collections.unmodifiableMap(documents);
        history = Collections.unmodifiableList(history);
    }

    /** Returns the state before the first record. */
    public static AcceptedState empty() {
        return new AcceptedState(StreamPosition.NONE, Map.of(), List.of(), StreamPosition.NONE);
    }

    /** The version of a document; -1 when it does not exist. */
    public long version(DocumentName name) {
        VersionedDocument found = documents.get(name);
        return found == null ? StreamPosition.NONE : found.version();
    }

    /** Returns the decided change set with the given id, if it is remembered. */
    public Optional<HistoryEntry> findDecision(String changeId) {
        for (int i = history.size() - 1; i >= 0; i--) {
            if (history.get(i).changeId().equals(changeId)) {
                return Optional.of(history.get(i));
            }
        }
        return Optional.empty();
    }

    /** Returns the documents without their versions. */
    public Configuration configuration() {
        Map<DocumentName, Document> plain = new HashMap<>(2 * documents.size());
        documents.forEach((name, versioned) -> plain.put(name, versioned.document()));
        return new Configuration(position, plain);
    }

    /** Returns the same documents at a later position. */
    AcceptedState at(long later) {
        return new AcceptedState(later, documents, history, historyFloor);
    }

    /** Returns the state with the change set's edits applied, without an entry in the history. */
    AcceptedState edited(long newPosition, ChangeSet change) {
        Map<DocumentName, VersionedDocument> changed = new HashMap<>(documents);
        for (DocumentEdit edit : change.edits()) {
            if (edit.content().isPresent()) {
                changed.put(edit.name(), new VersionedDocument(edit.content().get(), newPosition, change.author()));
            } else {
                changed.remove(edit.name());
            }
        }
        return new AcceptedState(newPosition, changed, history, historyFloor);
    }

    /** Returns the state with one more decided change set in the history. */
    AcceptedState withDecision(HistoryEntry entry) {
        return withHistory(entry.position(), documents, List.of(entry));
    }

    /** Returns a state with more entries at the end of the history. */
    AcceptedState withHistory(
            long newPosition, Map<DocumentName, VersionedDocument> newDocuments, List<HistoryEntry> newest) {
        List<HistoryEntry> entries = new ArrayList<>(history.size() + newest.size());
        entries.addAll(history);
        entries.addAll(newest);
        int dropped = Math.max(0, entries.size() - MAX_HISTORY_ENTRIES);
        long floor = dropped == 0 ? historyFloor : entries.get(dropped - 1).position();
        return new AcceptedState(newPosition, newDocuments, entries.subList(dropped, entries.size()), floor);
    }
}

package coriandersill.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The accepted documents with their versions as of one position of the stream. Immutable, and equal in every process
 * that has reached the position.
 *
 * @param position the position of the last record included
 * @param documents the documents by name
 * @param history the most recently decided change sets, oldest first, at most {@link #MAX_HISTORY_ENTRIES}
 * @param historyFloor the position of the newest change set dropped from the history; -1 if none was dropped
 */
public record AcceptedState(
        long position, Map<DocumentName, VersionedDocument> documents, List<HistoryEntry> history, long historyFloor) {
    /** The maximum number of history entries, and thus the window within which a duplicate change set is detected. */
    public static final int MAX_HISTORY_ENTRIES = 1024;

    /** Wraps the collections without copying them; the caller must not modify them afterwards. */
    public AcceptedState {
        documents = Collections.unmodifiableMap(documents);
        history = Collections.unmodifiableList(history);
    }

    /** Returns the state before the first record of the stream. */
    public static AcceptedState empty() {
        return new AcceptedState(StreamPosition.NONE, Map.of(), List.of(), StreamPosition.NONE);
    }

    /** Returns the version of a document, or -1 if it does not exist. */
    public long version(DocumentName name) {
        VersionedDocument versioned = documents.get(name);
        return versioned == null ? StreamPosition.NONE : versioned.version();
    }

    /** Returns the history entry of the change set with the given id, if it is still in the history. */
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
        Map<DocumentName, Document> unversioned = new HashMap<>(2 * documents.size());
        documents.forEach((name, versioned) -> unversioned.put(name, versioned.document()));
        return new Configuration(position, unversioned);
    }

    /** Returns the same documents and history at a later position. */
    AcceptedState atPosition(long newPosition) {
        return new AcceptedState(newPosition, documents, history, historyFloor);
    }

    /** Returns the state with the edits of a change set applied, without a history entry for it. */
    AcceptedState withEdits(long newPosition, ChangeSet change) {
        Map<DocumentName, VersionedDocument> updated = new HashMap<>(documents);
        for (DocumentEdit edit : change.edits()) {
            if (edit.content().isPresent()) {
                updated.put(edit.name(), new VersionedDocument(edit.content().get(), newPosition, change.author()));
            } else {
                updated.remove(edit.name());
            }
        }
        return new AcceptedState(newPosition, updated, history, historyFloor);
    }

    /** Returns the state with a decided change set appended to the history. */
    AcceptedState withDecision(HistoryEntry entry) {
        return withHistory(entry.position(), documents, List.of(entry));
    }

    /** Returns a state with entries appended to the history; entries beyond the maximum are dropped from its start. */
    AcceptedState withHistory(
            long newPosition, Map<DocumentName, VersionedDocument> newDocuments, List<HistoryEntry> newEntries) {
        List<HistoryEntry> entries = new ArrayList<>(history.size() + newEntries.size());
        entries.addAll(history);
        entries.addAll(newEntries);
        int droppedCount = Math.max(0, entries.size() - MAX_HISTORY_ENTRIES);
        long newFloor =
                droppedCount == 0 ? historyFloor : entries.get(droppedCount - 1).position();
        return new AcceptedState(newPosition, newDocuments, entries.subList(droppedCount, entries.size()), newFloor);
    }
}

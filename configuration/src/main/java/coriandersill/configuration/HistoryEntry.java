package coriandersill.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * One decided change set: who changed what, when and why.
 *
 * @param position its position in the stream
 * @param changeId its id
 * @param author its author
 * @param reason its reason
 * @param time when its author made it
 * @param documents the documents that it edits
 * @param verdict the verdict on it
 */
public record HistoryEntry(
        long position,
        String changeId,
        String author,
        String reason,
        Instant time,
        List<DocumentName> documents,
        Verdict verdict) {

    /** Copies the documents; refuses null. */
    public HistoryEntry {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(verdict, "verdict");
        documents = List.copyOf(documents);
    }

    /** Whether the change set was accepted. */
    public boolean accepted() {
        return verdict instanceof Verdict.Accepted;
    }
}

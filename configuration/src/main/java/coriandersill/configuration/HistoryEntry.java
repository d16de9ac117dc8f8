package coriandersill.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * One decided change set: who changed what, when and why. For a change set that could not be decoded, the reason and
 * the documents are empty and the time is {@link Instant#EPOCH}.
 *
 * @param position the position of the change set in the stream
 * @param changeId the id of the change set
 * @param author who made the change
 * @param reason why the change was made
 * @param time when the change was made, by the author's clock
 * @param documents the names of the documents it edits
 * @param verdict the verdict on the change set
 */
public record HistoryEntry(
        long position,
        String changeId,
        String author,
        String reason,
        Instant time,
        List<DocumentName> documents,
        Verdict verdict) {

    /** Copies the document names; rejects null. */
    public HistoryEntry {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(verdict, "verdict");
        documents = List.copyOf(documents);
    }

    /** Returns whether the change set was accepted. */
    public boolean accepted() {
        return verdict instanceof Verdict.Accepted;
    }
}

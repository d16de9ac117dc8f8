package coriandersill.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * An atomic change to one or more documents: either all of its edits are applied or none.
 *
 * <pre>{@code
 * ChangeSet change = ChangeSet.of(
 *         "8f1c", "almaz", "zone out for maintenance", now, state.position(),
 *         List.of(DocumentEdit.put(zone, state.version(zone.documentName()))));
 * }</pre>
 *
 * @param id the unique id of the change; a retry of the same change reuses it
 * @param author who made the change
 * @param reason why the change was made
 * @param time when the change was made, by the author's clock
 * @param schema the version of the document rules it was written for, see {@link ConfigurationStateMachine#SCHEMA}
 * @param basedOn the position of the state that its base versions were read from
 * @param edits the edits, at most one for each document
 */
public record ChangeSet(
        String id, String author, String reason, Instant time, int schema, long basedOn, List<DocumentEdit> edits)
        implements ConfigurationRecord {

    /** Copies the edits; rejects null. */
    public ChangeSet {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(time, "time");
        edits = List.copyOf(edits);
    }

    /** Returns a change set for the schema of this software version. */
    public static ChangeSet of(
            String id, String author, String reason, Instant time, long basedOn, List<DocumentEdit> edits) {
        return new ChangeSet(id, author, reason, time, ConfigurationStateMachine.SCHEMA, basedOn, edits);
    }
}

package coriandersill.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * A change of several documents, which is applied as a whole or not at all.
 *
 * <pre>{@code
 * ChangeSet change = ChangeSet.of(
 *         "8f1c", "almaz", "zone out for maintenance", now, state.position(),
 *         List.of(DocumentEdit.put(zone, state.version(zone.documentName()))));
 * }</pre>
 *
 * @param id unique to this change; a retry of the same change has the same id
 * @param author who makes it
 * @param reason why
 * @param time when its author made it, by the author's clock
 * @param schema the version of the document rules it was made for, see {@link ConfigurationFold#SCHEMA}
 * @param basedOn the position of the state that its base versions were read from
 * @param edits the edits, each of another document
 */
public record ChangeSet(
        String id, String author, String reason, Instant time, int schema, long basedOn, List<DocumentEdit> edits)
        implements ConfigurationRecord {

    /** Copies the edits; refuses null. */
    public ChangeSet {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(time, "time");
        edits = List.copyOf(edits);
    }

    /** Returns a change set for this version's schema. */
    public static ChangeSet of(
            String id, String author, String reason, Instant time, long basedOn, List<DocumentEdit> edits) {
        return new ChangeSet(id, author, reason, time, ConfigurationFold.SCHEMA, basedOn, edits);
    }
}

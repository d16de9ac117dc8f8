package coriandersill.configuration;

import java.util.Objects;

/**
 * An accepted document with the change that gave it its content.
 *
 * @param document the content
 * @param version the position of the change
 * @param author the author of the change
 */
public record VersionedDocument(Document document, long version, String author) {

    /** Refuses null. */
    public VersionedDocument {
        Objects.requireNonNull(document, "document");
        Objects.requireNonNull(author, "author");
    }
}

package coriandersill.configuration;

import java.util.Objects;

/**
 * An accepted document with the version and author of its last change.
 *
 * @param document the content
 * @param version the position of the last change
 * @param author the author of the last change
 */
public record VersionedDocument(Document document, long version, String author) {

    /** Rejects null. */
    public VersionedDocument {
        Objects.requireNonNull(document, "document");
        Objects.requireNonNull(author, "author");
    }
}

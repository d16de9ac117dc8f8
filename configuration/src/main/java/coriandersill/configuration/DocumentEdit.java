package coriandersill.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * The new content of one document, or its deletion.
 *
 * @param name the name of the document
 * @param baseVersion the version of the document that the edit was based on; -1 for a new document
 * @param content the new content; empty to delete the document
 */
public record DocumentEdit(DocumentName name, long baseVersion, Optional<Document> content) {

    /** Rejects null. */
    public DocumentEdit {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
    }

    /** Returns an edit that creates a document or replaces its content. */
    public static DocumentEdit put(Document content, long baseVersion) {
        return new DocumentEdit(content.documentName(), baseVersion, Optional.of(content));
    }

    /** Returns an edit that deletes a document. */
    public static DocumentEdit delete(DocumentName name, long baseVersion) {
        return new DocumentEdit(name, baseVersion, Optional.empty());
    }
}

package coriandersill.configuration;

import java.util.Objects;

/**
 * A problem found in a document or a change set.
 *
 * @param document the document's file name, such as {@code workspaces/criers-north.json}, or {@code change} for a
 *     problem of the change set itself
 * @param path the path within the document, such as {@code keys[0].salt}; empty for the document as a whole
 * @param expected a description of the expected value
 * @param found the value found, as JSON text, or a description of it
 */
public record Problem(String document, String path, String expected, String found) {

    /** Rejects null. */
    public Problem {
        Objects.requireNonNull(document, "document");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(expected, "expected");
        Objects.requireNonNull(found, "found");
    }

    /** Returns a problem of a named document. */
    public static Problem of(DocumentName name, String path, String expected, String found) {
        return new Problem(name + ".json", path, expected, found);
    }

    @Override
    public String toString() {
        String where = path.isEmpty() ? document : document + ": " + path;
        return where + ": expected " + expected + ", found " + found;
    }
}

package coriandersill.configuration;

import java.util.Objects;

/**
 * One thing that is wrong in a document or a change set.
 *
 * @param document where: the document's file name, {@code workspaces/criers-north.json}, or {@code change}
 * @param path the path within it, {@code keys[0].salt}; empty for the document as a whole
 * @param expected what is expected there
 * @param found what was found, JSON text for a value
 */
public record Problem(String document, String path, String expected, String found) {

    /** Refuses null. */
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

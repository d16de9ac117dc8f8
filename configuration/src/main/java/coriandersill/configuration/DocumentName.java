package coriandersill.configuration;

import java.util.Objects;

/**
 * The name of one configuration document, for example {@code services/scribe}.
 *
 * @param kind the kind of document
 * @param name the name, unique within the kind
 */
public record DocumentName(DocumentKind kind, String name) implements Comparable<DocumentName> {

    /** Rejects null. */
    public DocumentName {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
    }

    /** Returns the name of the document of the given kind. */
    public static DocumentName of(DocumentKind kind, String name) {
        return new DocumentName(kind, name);
    }

    /** Parses {@code folder/name}; throws {@link IllegalArgumentException} for any other text. */
    public static DocumentName parse(String text) {
        int slash = text.indexOf('/');
        String folder = slash < 0 ? text : text.substring(0, slash);
        DocumentKind kind = DocumentKind.ofFolder(folder)
                .orElseThrow(() -> new IllegalArgumentException(
                        "document name: expected services/, workspaces/, zones/ or rollouts/ and a name, found \""
                                + text + "\""));
        if (slash < 0 || slash == text.length() - 1) {
            throw new IllegalArgumentException("document name: expected a name after \"" + folder + "/\"");
        }
        return new DocumentName(kind, text.substring(slash + 1));
    }

    @Override
    public int compareTo(DocumentName other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.folder() + "/" + name;
    }
}

package coriandersill.configuration;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of configuration documents; the folder of a document in an operator's directory names its kind. */
public enum DocumentKind {
    /** A service that callers address. */
    SERVICE("services"),
    /** A workspace with its keys, share and caps. */
    WORKSPACE("workspaces"),
    /** An availability zone and whether it is in service. */
    ZONE("zones"),
    /** A rollout of a version. */
    ROLLOUT("rollouts");

    private final String folder;

    DocumentKind(String folder) {
        this.folder = folder;
    }

    /** The folder of documents of this kind. */
    public String folder() {
        return folder;
    }

    /** Returns the kind with the given folder, if there is one. */
    public static Optional<DocumentKind> ofFolder(String folder) {
        return Arrays.stream(values())
                .filter(kind -> kind.folder.equals(folder))
                .findFirst();
    }
}

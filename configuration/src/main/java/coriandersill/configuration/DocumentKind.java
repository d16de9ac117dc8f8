package coriandersill.configuration;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of configuration documents; each kind has its own folder in an operator's configuration directory. */
public enum DocumentKind {
    /** A service that callers send requests to. */
    SERVICE("services"),
    /** A workspace with its API keys, weight and quotas. */
    WORKSPACE("workspaces"),
    /** An availability zone and whether it is in service. */
    ZONE("zones"),
    /** A rollout of a version. */
    ROLLOUT("rollouts");

    private final String folder;

    DocumentKind(String folder) {
        this.folder = folder;
    }

    /** The name of the folder that holds documents of this kind. */
    public String folder() {
        return folder;
    }

    /** Returns the kind stored in the given folder, if there is one. */
    public static Optional<DocumentKind> ofFolder(String folder) {
        return Arrays.stream(values())
                .filter(kind -> kind.folder.equals(folder))
                .findFirst();
    }
}

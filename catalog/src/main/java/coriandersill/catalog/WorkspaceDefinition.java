package coriandersill.catalog;

import coriandersill.core.WorkspaceName;
import java.util.OptionalInt;

/**
 * A workspace to which API keys belong.
 *
 * @param name the name of the workspace
 * @param priority the rank of its calls, which takes precedence over that of their routes; empty if unspecified
 */
public record WorkspaceDefinition(WorkspaceName name, OptionalInt priority) {
    /** Returns a workspace whose calls have the priorities of their routes. */
    public static WorkspaceDefinition of(WorkspaceName name) {
        return new WorkspaceDefinition(name, OptionalInt.empty());
    }
}

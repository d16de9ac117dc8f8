package coriandersill.catalog;

import coriandersill.core.WorkspaceName;

/**
 * A workspace to which API keys belong.
 *
 * @param name the name of the workspace
 */
public record WorkspaceDefinition(WorkspaceName name) {}

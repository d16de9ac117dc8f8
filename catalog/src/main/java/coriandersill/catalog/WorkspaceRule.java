package coriandersill.catalog;

import coriandersill.core.WorkspaceName;

/**
 * A workspace that holds keys.
 *
 * @param name the workspace
 */
public record WorkspaceRule(WorkspaceName name) {}

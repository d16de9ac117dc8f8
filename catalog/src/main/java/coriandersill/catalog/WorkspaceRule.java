package coriandersill.catalog;

import coriandersill.core.WorkspaceName;
import java.util.OptionalInt;

/**
 * A workspace that holds keys.
 *
 * @param name the workspace
 * @param priority its rank, which goes before that of the route; empty where the route's rank holds
 */
public record WorkspaceRule(WorkspaceName name, OptionalInt priority) {}

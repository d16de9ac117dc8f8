package coriandersill.relay.internal;

import coriandersill.catalog.RouteRule;
import coriandersill.catalog.WorkspaceDefinition;
import java.util.Optional;
import java.util.OptionalInt;

/** Ranks a call by the priority of its workspace, or of its route if the workspace has none. */
final class WorkspaceBeforeRoute implements UrgencyRule {
    @Override
    public OptionalInt rank(RouteRule route, Optional<WorkspaceDefinition> workspace) {
        return workspace
                .map(WorkspaceDefinition::priority)
                .filter(OptionalInt::isPresent)
                .orElse(route.priority());
    }
}

package coriandersill.relay.internal;

import coriandersill.catalog.RouteRule;
import coriandersill.catalog.WorkspaceDefinition;
import java.util.Optional;
import java.util.OptionalInt;

/** Determines the rank of a call among those of its service. Implementations are thread-safe. */
@FunctionalInterface
interface UrgencyRule {
    /** Returns the rank, 0 for the most urgent calls; empty if neither the route nor the workspace states one. */
    OptionalInt rank(RouteRule route, Optional<WorkspaceDefinition> workspace);
}

package coriandersill.relay.internal;

import coriandersill.routing.RoutingPolicy;

/** Selects the policy by which an engine is chosen. Implementations are thread-safe. */
interface PlacementPolicies {
    /** Returns the policy for a generation that has not begun. */
    RoutingPolicy forCall(CallPlan plan);

    /** Returns the policy for the target of a move. */
    RoutingPolicy forMove(CallPlan plan, TargetCriteria criteria);
}

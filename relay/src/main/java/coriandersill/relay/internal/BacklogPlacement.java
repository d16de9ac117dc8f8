package coriandersill.relay.internal;

import coriandersill.routing.LeastPromptBacklog;
import coriandersill.routing.RoutingPolicy;

/**
 * Chooses engines by their backlog of prompts and their generations in flight.
 *
 * @param generation for generations whose time is mostly spent on decoding
 * @param prefillDominated for generations whose time is mostly spent on prefilling the prompt
 * @param preferSameZone for moves without time for copies to another zone; prefers the source's zone but does not
 *     require it
 * @param anyZone for moves with time for copies to another zone
 * @param savings what engines need not read of the prompts of calls
 */
record BacklogPlacement(
        LeastPromptBacklog generation,
        LeastPromptBacklog prefillDominated,
        RoutingPolicy preferSameZone,
        RoutingPolicy anyZone,
        PromptSavingRule savings)
        implements PlacementPolicies {
    @Override
    public RoutingPolicy forCall(CallPlan plan) {
        LeastPromptBacklog ofKind = plan.isPrefillDominated() ? prefillDominated : generation;
        return ofKind.preferring(savings.of(plan));
    }

    @Override
    public RoutingPolicy forMove(CallPlan plan, TargetCriteria criteria) {
        return criteria.anyZone() ? anyZone : preferSameZone;
    }
}

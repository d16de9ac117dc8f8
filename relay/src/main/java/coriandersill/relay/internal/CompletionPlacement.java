package coriandersill.relay.internal;

import coriandersill.catalog.EngineProperties;
import coriandersill.relay.CallRequest;
import coriandersill.routing.EnginePaces;
import coriandersill.routing.GenerationDemand;
import coriandersill.routing.LeastExpectedCompletion;
import coriandersill.routing.PaceSnapshot;
import coriandersill.routing.RoutingPolicy;
import coriandersill.routing.SavingPreference;
import java.util.random.RandomGenerator;

/**
 * Chooses engines by the expected completion where lasting differences of pace are known, and elsewhere by other
 * policies.
 *
 * @param evenPaces the policies for services without known differences
 * @param costs the costs by which the policies for even paces choose as well
 * @param savings what engines need not read of the prompts of calls
 * @param paces what is known of the paces
 * @param random chooses among nearly equal engines
 */
record CompletionPlacement(
        PlacementPolicies evenPaces, Costs costs, PromptSavingRule savings, EnginePaces paces, RandomGenerator random)
        implements PlacementPolicies {
    /** The costs by kind of generation, as for {@link BacklogPlacement}. */
    record Costs(
            LeastExpectedCompletion.Costs generation,
            LeastExpectedCompletion.Costs prefillDominated,
            LeastExpectedCompletion.Costs preferSameZone,
            LeastExpectedCompletion.Costs anyZone) {}

    @Override
    public RoutingPolicy forCall(CallPlan plan) {
        LeastExpectedCompletion.Costs ofCall =
                plan.isPrefillDominated() ? costs.prefillDominated() : costs.generation();
        return policy(plan, plan.promptTokens(), ofCall, evenPaces.forCall(plan), savings.of(plan));
    }

    @Override
    public RoutingPolicy forMove(CallPlan plan, TargetCriteria criteria) {
        // A moved generation brings its copy along, so no prompt is read.
        LeastExpectedCompletion.Costs ofMove = criteria.anyZone() ? costs.anyZone() : costs.preferSameZone();
        return policy(plan, 0, ofMove, evenPaces.forMove(plan, criteria), SavingPreference.NONE);
    }

    private RoutingPolicy policy(
            CallPlan plan,
            int promptTokens,
            LeastExpectedCompletion.Costs ofKind,
            RoutingPolicy withoutKnowledge,
            SavingPreference preference) {
        PaceSnapshot known = paces.snapshot(plan.service().name());
        if (!known.uneven()) {
            return withoutKnowledge;
        }
        return LeastExpectedCompletion.of(
                known, demand(plan, promptTokens), ofKind, withoutKnowledge, preference, random);
    }

    /** Returns what a generation needs of an engine that has {@code promptTokens} of its prompt to read. */
    static GenerationDemand demand(CallPlan plan, int promptTokens) {
        return new GenerationDemand(
                promptTokens,
                plan.request()
                        .prompt()
                        .map(CallRequest.Prompt::expectedOutputTokens)
                        .orElse(0),
                plan.service().engine().map(EngineProperties::tokensPerEvent).orElse(1),
                plan.route().targetLatency(),
                plan.route().maxEventGap(),
                plan.timeLimit());
    }
}

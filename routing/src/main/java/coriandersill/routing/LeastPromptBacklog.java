package coriandersill.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses the engine with the shortest expected time to first token among those with enough free memory.
 *
 * <p>The expected time is the number of prompt tokens still to be prefilled, plus a cost for each call in flight, which
 * shares the engine's batch steps, plus a cost for leaving the availability zone, all expressed in prompt tokens. If no
 * engine has enough free memory, the one with the least predicted load is chosen.
 */
public final class LeastPromptBacklog implements RoutingPolicy {
    private final int callCostTokens;
    private final int otherZoneCostTokens;
    private final AtomicInteger nextIndex;
    private final SavingPreference preference;

    private LeastPromptBacklog(
            int callCostTokens, int otherZoneCostTokens, AtomicInteger nextIndex, SavingPreference preference) {
        this.callCostTokens = callCostTokens;
        this.otherZoneCostTokens = otherZoneCostTokens;
        this.nextIndex = nextIndex;
        this.preference = preference;
    }

    /**
     * Creates the policy.
     *
     * @param callCostTokens the cost of each call in flight, in prompt tokens
     * @param otherZoneCostTokens the cost of an engine outside the request's zone of origin, in prompt tokens
     * @param firstIndex where round-robin tie-breaking starts; different entries should pass different values
     */
    public static LeastPromptBacklog of(int callCostTokens, int otherZoneCostTokens, int firstIndex) {
        return new LeastPromptBacklog(
                callCostTokens, otherZoneCostTokens, new AtomicInteger(firstIndex), SavingPreference.NONE);
    }

    /**
     * Returns a policy for one generation that shares the round-robin order of this one, and in which the prompt tokens
     * that engines are expected not to read count against their backlog.
     */
    public LeastPromptBacklog preferring(SavingPreference ofGeneration) {
        return new LeastPromptBacklog(callCostTokens, otherZoneCostTokens, nextIndex, ofGeneration);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        int first = nextIndex.getAndIncrement();
        Candidate best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        Candidate leastLoaded = null;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(Math.floorMod(first + i, candidates.size()));
            if (!candidate.isEligibleFor(request)) {
                continue;
            }
            if (leastLoaded == null || candidate.predictedLoad() < leastLoaded.predictedLoad()) {
                leastLoaded = candidate;
            }
            double cost = cost(request, candidate);
            if (candidate.hasRoomFor(request.predictedTokens()) && cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        if (best == null || preference.isEmpty()) {
            return Optional.ofNullable(best == null ? leastLoaded : best);
        }
        return Optional.of(preferred(request, best, candidates));
    }

    private Candidate preferred(RouteRequest request, Candidate withoutSaving, List<Candidate> candidates) {
        List<SavingPreference.Option> options = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.isEligibleFor(request) && candidate.hasRoomFor(request.predictedTokens())) {
                options.add(option(request, candidate));
            }
        }
        return preference.choose(option(request, withoutSaving), options).candidate();
    }

    private SavingPreference.Option option(RouteRequest request, Candidate candidate) {
        double savedTokens = preference.savings().expectedTokens(candidate);
        return new SavingPreference.Option(candidate, savedTokens, cost(request, candidate) - savedTokens);
    }

    private double cost(RouteRequest request, Candidate candidate) {
        double callsCost = (double) callCostTokens * (candidate.inFlight() + candidate.otherEntriesInFlight());
        double zoneCost = candidate.zone().equals(request.origin()) ? 0 : otherZoneCostTokens;
        return candidate.pendingPromptTokens() + callsCost + zoneCost;
    }
}

package coriandersill.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses the engine that reaches the request's first token soonest among those whose memory holds it.
 *
 * <p>The wait is what the engine has yet to read of other prompts, plus a charge for each generation that shares its
 * steps, plus a charge for another availability zone; all are counted in prompt tokens. Where no engine's memory holds
 * the request, the one with the least predicted load takes it.
 */
public final class LeastPromptBacklog implements RoutingPolicy {
    private final int tokensPerCall;
    private final int tokensForOtherZone;
    private final AtomicInteger turn;

    private LeastPromptBacklog(int tokensPerCall, int tokensForOtherZone, int firstTurn) {
        this.tokensPerCall = tokensPerCall;
        this.tokensForOtherZone = tokensForOtherZone;
        this.turn = new AtomicInteger(firstTurn);
    }

    /**
     * Returns the policy.
     *
     * @param tokensPerCall the charge for each call in flight, in prompt tokens
     * @param tokensForOtherZone the charge for an engine in another zone than the entry's, in prompt tokens
     * @param firstTurn where the choice among equals starts; entries should pass different values
     */
    public static LeastPromptBacklog of(int tokensPerCall, int tokensForOtherZone, int firstTurn) {
        return new LeastPromptBacklog(tokensPerCall, tokensForOtherZone, firstTurn);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        int first = turn.getAndIncrement();
        Candidate best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        Candidate leastLoaded = null;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(Math.floorMod(first + i, candidates.size()));
            if (!candidate.suits(request)) {
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
        return Optional.ofNullable(best == null ? leastLoaded : best);
    }

    private double cost(RouteRequest request, Candidate candidate) {
        double calls = (double) tokensPerCall * (candidate.inFlight() + candidate.otherEntriesInFlight());
        double zone = candidate.zone().equals(request.origin()) ? 0 : tokensForOtherZone;
        return candidate.pendingPromptTokens() + calls + zone;
    }
}

package coriandersill.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses the candidate with the least {@linkplain Candidate#predictedLoad() predicted load}.
 *
 * <p>This entry's own calls count in full and at once; what other entries have there is known from lagging reports and
 * only corrects the picture. Among equals the choice moves on from call to call, so that entries that see the same
 * reports do not all choose the same upstream.
 */
public final class LeastPredictedLoad implements RoutingPolicy {
    private final AtomicInteger turn;

    private LeastPredictedLoad(int firstTurn) {
        this.turn = new AtomicInteger(firstTurn);
    }

    /** Returns the policy; entries should pass different values of {@code firstTurn}. */
    public static LeastPredictedLoad startingAt(int firstTurn) {
        return new LeastPredictedLoad(firstTurn);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        int first = turn.getAndIncrement();
        Candidate best = null;
        double bestLoad = Double.POSITIVE_INFINITY;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(Math.floorMod(first + i, candidates.size()));
            if (candidate.suits(request)) {
                double load = candidate.predictedLoad();
                if (load < bestLoad) {
                    best = candidate;
                    bestLoad = load;
                }
            }
        }
        return Optional.ofNullable(best);
    }
}

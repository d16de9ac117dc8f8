package coriandersill.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses the candidate with the least {@linkplain Candidate#predictedLoad() predicted load}.
 *
 * <p>This entry's own calls count in full and immediately; the load of other entries is added from delayed reports.
 * Ties are broken round-robin, so that entries that see the same reports do not all choose the same upstream.
 */
public final class LeastPredictedLoad implements RoutingPolicy {
    private final AtomicInteger nextIndex;

    private LeastPredictedLoad(int firstIndex) {
        this.nextIndex = new AtomicInteger(firstIndex);
    }

    /** Creates the policy; different entries should pass different values of {@code firstIndex}. */
    public static LeastPredictedLoad startingAt(int firstIndex) {
        return new LeastPredictedLoad(firstIndex);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        int first = nextIndex.getAndIncrement();
        Candidate best = null;
        double bestLoad = Double.POSITIVE_INFINITY;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(Math.floorMod(first + i, candidates.size()));
            if (candidate.isEligibleFor(request)) {
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

package coriandersill.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the candidate with the fewest of this entry's own calls, and of those the first. */
public final class LeastInFlight implements RoutingPolicy {
    private LeastInFlight() {}

    /** Returns the policy. */
    public static LeastInFlight create() {
        return new LeastInFlight();
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        Candidate best = null;
        for (Candidate candidate : candidates) {
            if (candidate.suits(request) && (best == null || candidate.inFlight() < best.inFlight())) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }
}

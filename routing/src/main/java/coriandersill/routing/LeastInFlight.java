package coriandersill.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the candidate with the fewest calls in flight from this entry; ties go to the first one. */
public final class LeastInFlight implements RoutingPolicy {
    private LeastInFlight() {}

    /** Creates the policy. */
    public static LeastInFlight create() {
        return new LeastInFlight();
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        Candidate best = null;
        for (Candidate candidate : candidates) {
            if (candidate.isEligibleFor(request) && (best == null || candidate.inFlight() < best.inFlight())) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }
}

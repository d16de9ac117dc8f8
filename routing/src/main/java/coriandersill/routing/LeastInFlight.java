package coriandersill.routing;

import java.util.Comparator;
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
        return candidates.stream()
                .filter(candidate -> candidate.version().equals(request.version()))
                .filter(candidate -> !request.excluded().contains(candidate.instance()))
                .min(Comparator.comparingInt(Candidate::inFlight));
    }
}

package coriandersill.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for a request. Implementations are thread-safe. */
@FunctionalInterface
public interface RoutingPolicy {

    /** Returns the candidate to try next, or empty if none should be tried. */
    Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates);
}

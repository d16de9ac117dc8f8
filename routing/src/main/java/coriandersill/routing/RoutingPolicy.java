package coriandersill.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for one request; implementations are safe for use by many threads. */
@FunctionalInterface
public interface RoutingPolicy {

    /** Returns the candidate to try next, or nothing when none should be tried. */
    Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates);
}

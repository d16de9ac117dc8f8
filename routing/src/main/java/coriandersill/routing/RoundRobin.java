package coriandersill.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses the candidates in turn regardless of their load; the baseline in policy comparisons. */
public final class RoundRobin implements RoutingPolicy {
    private final AtomicInteger nextIndex = new AtomicInteger();

    private RoundRobin() {}

    /** Creates a policy that starts with the first candidate. */
    public static RoundRobin create() {
        return new RoundRobin();
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        int first = nextIndex.getAndIncrement();
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(Math.floorMod(first + i, candidates.size()));
            if (candidate.isEligibleFor(request)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}

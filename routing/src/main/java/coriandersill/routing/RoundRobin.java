package coriandersill.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses the candidates in turn, whatever their load; the baseline of the comparisons. */
public final class RoundRobin implements RoutingPolicy {
    private final AtomicInteger turn = new AtomicInteger();

    private RoundRobin() {}

    /** Returns a policy that begins with the first candidate. */
    public static RoundRobin create() {
        return new RoundRobin();
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        int first = turn.getAndIncrement();
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(Math.floorMod(first + i, candidates.size()));
            if (candidate.suits(request)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}

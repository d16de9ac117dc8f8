package coriandersill.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the plain upstream at which a call is expected to end first, by the paces of the upstreams.
 *
 * <p>The expected time is that of a call at the upstream's pace, longer by the part of the upstream's slots that is
 * taken, plus a cost for leaving the availability zone, all in usual times of a call. One of the upstreams within a
 * small margin of the best is chosen at random.
 */
public final class LeastExpectedEnd implements RoutingPolicy {
    /** The cost of another availability zone: its upstream must save half of the usual time of a call. */
    private static final double OTHER_ZONE_COST = 0.5;

    private static final double MARGIN = 0.05;

    private final PaceSnapshot paces;
    private final RandomGenerator random;

    private LeastExpectedEnd(PaceSnapshot paces, RandomGenerator random) {
        this.paces = Objects.requireNonNull(paces, "paces");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Creates the policy. */
    public static LeastExpectedEnd of(PaceSnapshot paces, RandomGenerator random) {
        return new LeastExpectedEnd(paces, random);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        List<Candidate> eligible = candidates.stream()
                .filter(candidate -> candidate.isEligibleFor(request))
                .toList();
        double least = eligible.stream()
                .mapToDouble(candidate -> cost(request, candidate))
                .min()
                .orElse(0);
        List<Candidate> near = new ArrayList<>(eligible);
        near.removeIf(candidate -> cost(request, candidate) > least + MARGIN);
        return near.isEmpty() ? Optional.empty() : Optional.of(near.get(random.nextInt(near.size())));
    }

    private double cost(RouteRequest request, Candidate candidate) {
        double zoneCost = candidate.zone().equals(request.origin()) ? 0 : OTHER_ZONE_COST;
        return paces.relative(candidate.instance()) * (1 + candidate.predictedLoad()) + zoneCost;
    }
}

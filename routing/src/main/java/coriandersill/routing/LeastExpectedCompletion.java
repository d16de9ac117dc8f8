package coriandersill.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the engine at which a generation is expected to go best for its caller, by the paces of the engines.
 *
 * <p>Among the engines with enough free memory, one of those with nearly the least cost is chosen at random: the
 * expected time, and a high cost for each of the caller's expectations that is missed. The draw is made so that entries
 * with the same knowledge do not all choose the same engine. While no lasting differences of pace are known, and if no
 * engine has enough free memory, another policy chooses. An engine that is expected to hold a part of the prompt
 * replaces the choice if its expected time, with what it does not read, is shorter.
 */
public final class LeastExpectedCompletion implements RoutingPolicy {
    /** Engines within this many prompt tokens of the best are equally good; half of what another zone costs. */
    private static final double MARGIN_TOKENS = 150;

    /** The cost of an expectation of the caller that is missed: more than any backlog that would still be on time. */
    private static final double MISSED_TOKENS = 20_000;

    private final PaceSnapshot paces;
    private final GenerationDemand demand;
    private final Costs costs;
    private final RoutingPolicy withoutKnowledge;
    private final SavingPreference preference;
    private final RandomGenerator random;

    /**
     * The costs that do not depend on the pace, in prompt tokens.
     *
     * @param callTokens the cost of each generation in flight
     * @param otherZoneTokens the cost of an engine outside the request's availability zone of origin
     */
    public record Costs(int callTokens, int otherZoneTokens) {}

    private record Scored(Candidate candidate, double cost) {}

    private LeastExpectedCompletion(
            PaceSnapshot paces,
            GenerationDemand demand,
            Costs costs,
            RoutingPolicy withoutKnowledge,
            SavingPreference preference,
            RandomGenerator random) {
        this.paces = Objects.requireNonNull(paces, "paces");
        this.demand = Objects.requireNonNull(demand, "demand");
        this.costs = Objects.requireNonNull(costs, "costs");
        this.withoutKnowledge = Objects.requireNonNull(withoutKnowledge, "withoutKnowledge");
        this.preference = Objects.requireNonNull(preference, "preference");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Creates the policy for one generation whose prompt has no shared parts.
     *
     * @param withoutKnowledge chooses while no differences of pace are known, and if no engine has enough free memory
     */
    public static LeastExpectedCompletion of(
            PaceSnapshot paces,
            GenerationDemand demand,
            Costs costs,
            RoutingPolicy withoutKnowledge,
            RandomGenerator random) {
        return of(paces, demand, costs, withoutKnowledge, SavingPreference.NONE, random);
    }

    /**
     * Creates the policy for one generation.
     *
     * @param withoutKnowledge chooses while no differences of pace are known, and if no engine has enough free memory
     * @param preference what the engines are expected to hold of the prompt
     */
    public static LeastExpectedCompletion of(
            PaceSnapshot paces,
            GenerationDemand demand,
            Costs costs,
            RoutingPolicy withoutKnowledge,
            SavingPreference preference,
            RandomGenerator random) {
        return new LeastExpectedCompletion(paces, demand, costs, withoutKnowledge, preference, random);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        if (!paces.uneven()) {
            return withoutKnowledge.choose(request, candidates);
        }
        List<Scored> scored = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.isEligibleFor(request) && candidate.hasRoomFor(request.predictedTokens())) {
                scored.add(new Scored(candidate, cost(request, candidate, 0)));
            }
        }
        if (scored.isEmpty()) {
            return withoutKnowledge.choose(request, candidates);
        }
        Candidate withoutSaving = nearlyBest(scored);
        return Optional.of(preference.isEmpty() ? withoutSaving : preferred(request, withoutSaving, scored));
    }

    private double cost(RouteRequest request, Candidate candidate, double savedTokens) {
        CompletionEstimate estimate = CompletionEstimate.of(candidate, demand, paces, costs.callTokens(), savedTokens);
        double zoneCost = candidate.zone().equals(request.origin()) ? 0 : costs.otherZoneTokens();
        return estimate.costTokens() + estimate.missed() * MISSED_TOKENS + zoneCost;
    }

    private Candidate preferred(RouteRequest request, Candidate withoutSaving, List<Scored> scored) {
        List<SavingPreference.Option> options =
                scored.stream().map(one -> option(request, one.candidate())).toList();
        return preference.choose(option(request, withoutSaving), options).candidate();
    }

    private SavingPreference.Option option(RouteRequest request, Candidate candidate) {
        double savedTokens = preference.savings().expectedTokens(candidate);
        return new SavingPreference.Option(candidate, savedTokens, cost(request, candidate, savedTokens));
    }

    private Candidate nearlyBest(List<Scored> scored) {
        double least = scored.stream().mapToDouble(Scored::cost).min().orElseThrow();
        List<Scored> near = scored.stream()
                .filter(one -> one.cost() <= least + MARGIN_TOKENS)
                .toList();
        return near.get(random.nextInt(near.size())).candidate();
    }
}

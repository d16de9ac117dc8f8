package coriandersill.experiment;

import coriandersill.admission.AdmissionController;
import coriandersill.admission.PredictiveAdmission;
import coriandersill.core.MonotonicClock;
import coriandersill.routing.LeastInFlight;
import coriandersill.routing.LeastPredictedLoad;
import coriandersill.routing.PrefixAffinity;
import coriandersill.routing.RoundRobin;
import coriandersill.routing.RouterBuilder;
import coriandersill.routing.RoutingPolicy;
import coriandersill.routing.ZonePreference;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** The policies that the comparisons set against each other. */
final class PolicySets {
    /** The concurrency that operators would allow a warm engine: more than its memory holds of usual requests. */
    private static final int MAX_CONCURRENCY = 96;

    private PolicySets() {}

    /** Round-robin with a queue before a fixed limit. */
    static PolicySet roundRobin(int limit) {
        return new PolicySet("round-robin, fixed " + limit, random -> RoundRobin.create(), fixed(limit));
    }

    /** The standard routing and admission of the daemons. */
    static PolicySet standard(EngineSpec engine) {
        return new PolicySet("standard", RouterBuilder::standardPolicy, predictive(engine));
    }

    /** The standard policies without the ramp of a returned availability zone. */
    static PolicySet withoutZoneRamp(EngineSpec engine) {
        return new PolicySet("no zone ramp", RouterBuilder::standardPolicy, predictive(engine), Duration.ZERO);
    }

    /** The baselines and the standard policies with one part switched off. */
    static List<PolicySet> variants(EngineSpec engine, int limit) {
        Function<MonotonicClock, AdmissionController> predictive = predictive(engine);
        return List.of(
                roundRobin(limit),
                new PolicySet("least-in-flight, fixed " + limit, random -> LeastInFlight.create(), fixed(limit)),
                new PolicySet("standard routing, fixed " + limit, RouterBuilder::standardPolicy, fixed(limit)),
                new PolicySet("round-robin, predictive", random -> RoundRobin.create(), predictive),
                new PolicySet("no prefix affinity", random -> zone(leastLoad(random)), predictive),
                new PolicySet("no zone preference", random -> affinity(leastLoad(random)), predictive),
                new PolicySet("no predicted load", random -> affinity(zone(LeastInFlight.create())), predictive),
                standard(engine));
    }

    private static Function<MonotonicClock, AdmissionController> fixed(int limit) {
        return clock -> new QueueingFixedLimit(clock, limit);
    }

    private static Function<MonotonicClock, AdmissionController> predictive(EngineSpec engine) {
        return clock -> PredictiveAdmission.builder(clock)
                .concurrency(engine.coldLimit(), MAX_CONCURRENCY)
                .memoryTokens(engine.memoryTokens())
                .build();
    }

    private static RoutingPolicy leastLoad(RandomGenerator random) {
        return LeastPredictedLoad.startingAt(random.nextInt());
    }

    private static RoutingPolicy affinity(RoutingPolicy otherwise) {
        return PrefixAffinity.of(RouterBuilder.AFFINITY_LOAD_FACTOR, otherwise);
    }

    private static RoutingPolicy zone(RoutingPolicy chooser) {
        return ZonePreference.of(RouterBuilder.SPILLOVER_LOAD, RouterBuilder.SPILLOVER_LOAD_DIFFERENCE, chooser);
    }
}

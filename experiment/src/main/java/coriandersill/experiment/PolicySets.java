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

/** The policy sets that are compared. */
final class PolicySets {
    /**
     * The concurrency limit that operators would configure for a warm engine. Its memory cannot hold this many requests
     * of the usual length.
     */
    private static final int MAX_CONCURRENCY = 96;

    private PolicySets() {}

    /** Returns round-robin routing with a fixed concurrency limit and a queue. */
    static PolicySet roundRobin(int concurrencyLimit) {
        return new PolicySet(
                "round-robin, fixed " + concurrencyLimit, random -> RoundRobin.create(), fixedLimit(concurrencyLimit));
    }

    /** Returns the standard routing and admission policies of the daemons. */
    static PolicySet standard(EngineSpec engine) {
        return new PolicySet("standard", RouterBuilder::standardPolicy, predictive(engine));
    }

    /** Returns the standard policies without the ramp after the return of an availability zone. */
    static PolicySet withoutZoneRamp(EngineSpec engine) {
        return new PolicySet("no zone ramp", RouterBuilder::standardPolicy, predictive(engine), Duration.ZERO);
    }

    /**
     * Returns the baselines with a fixed limit, variants of the standard policies in which one policy is replaced or
     * left out, and the standard policies.
     */
    static List<PolicySet> variants(EngineSpec engine, int limit) {
        Function<MonotonicClock, AdmissionController> predictive = predictive(engine);
        return List.of(
                roundRobin(limit),
                new PolicySet("least-in-flight, fixed " + limit, random -> LeastInFlight.create(), fixedLimit(limit)),
                new PolicySet("standard routing, fixed " + limit, RouterBuilder::standardPolicy, fixedLimit(limit)),
                new PolicySet("round-robin, predictive", random -> RoundRobin.create(), predictive),
                new PolicySet("no prefix affinity", random -> zonePreference(leastPredictedLoad(random)), predictive),
                new PolicySet("no zone preference", random -> prefixAffinity(leastPredictedLoad(random)), predictive),
                new PolicySet(
                        "no predicted load",
                        random -> prefixAffinity(zonePreference(LeastInFlight.create())),
                        predictive),
                standard(engine));
    }

    private static Function<MonotonicClock, AdmissionController> fixedLimit(int limit) {
        return clock -> new QueueingFixedLimitAdmission(clock, limit);
    }

    private static Function<MonotonicClock, AdmissionController> predictive(EngineSpec engine) {
        return clock -> PredictiveAdmission.builder(clock)
                .concurrency(engine.coldConcurrency(), MAX_CONCURRENCY)
                .memoryTokens(engine.memoryTokens())
                .build();
    }

    private static RoutingPolicy leastPredictedLoad(RandomGenerator random) {
        return LeastPredictedLoad.startingAt(random.nextInt());
    }

    private static RoutingPolicy prefixAffinity(RoutingPolicy fallback) {
        return PrefixAffinity.of(RouterBuilder.AFFINITY_MAX_LOAD_FACTOR, fallback);
    }

    private static RoutingPolicy zonePreference(RoutingPolicy fallback) {
        return ZonePreference.of(RouterBuilder.SPILLOVER_LOAD, RouterBuilder.SPILLOVER_LOAD_DIFFERENCE, fallback);
    }
}

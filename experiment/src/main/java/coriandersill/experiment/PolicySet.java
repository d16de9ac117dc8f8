package coriandersill.experiment;

import coriandersill.admission.AdmissionController;
import coriandersill.core.MonotonicClock;
import coriandersill.routing.RoutingPolicy;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The policies that one run compares with others.
 *
 * @param name its name in tables
 * @param routing makes the routing policy of one entry
 * @param admission makes the gate of one engine
 */
public record PolicySet(
        String name,
        Function<RandomGenerator, RoutingPolicy> routing,
        Function<MonotonicClock, AdmissionController> admission) {}

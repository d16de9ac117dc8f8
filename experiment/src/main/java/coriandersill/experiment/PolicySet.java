package coriandersill.experiment;

import coriandersill.admission.AdmissionController;
import coriandersill.core.MonotonicClock;
import coriandersill.routing.RoutingPolicy;
import java.time.Duration;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The policies that one run compares with others.
 *
 * @param name its name in tables
 * @param routing makes the routing policy of one entry
 * @param admission makes the gate of one engine
 * @param zoneRamp the time in which a returned availability zone's share grows to the usual one
 */
public record PolicySet(
        String name,
        Function<RandomGenerator, RoutingPolicy> routing,
        Function<MonotonicClock, AdmissionController> admission,
        Duration zoneRamp) {

    /** Creates a set with the standard ramp of 30 s. */
    public PolicySet(
            String name,
            Function<RandomGenerator, RoutingPolicy> routing,
            Function<MonotonicClock, AdmissionController> admission) {
        this(name, routing, admission, Duration.ofSeconds(30));
    }
}

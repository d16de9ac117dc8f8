package coriandersill.experiment;

import coriandersill.admission.AdmissionController;
import coriandersill.core.MonotonicClock;
import coriandersill.routing.RoutingPolicy;
import java.time.Duration;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The routing and admission policies of one run.
 *
 * @param name its name in result tables
 * @param routing creates the routing policy of an entry
 * @param admission creates the admission controller of an engine
 * @param zoneRamp the time over which the traffic share of a returned availability zone grows back to normal
 */
public record PolicySet(
        String name,
        Function<RandomGenerator, RoutingPolicy> routing,
        Function<MonotonicClock, AdmissionController> admission,
        Duration zoneRamp) {

    /** Creates a policy set with the standard zone ramp of 30 s. */
    public PolicySet(
            String name,
            Function<RandomGenerator, RoutingPolicy> routing,
            Function<MonotonicClock, AdmissionController> admission) {
        this(name, routing, admission, Duration.ofSeconds(30));
    }
}

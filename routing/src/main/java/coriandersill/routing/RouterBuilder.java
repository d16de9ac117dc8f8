package coriandersill.routing;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/** Builds a {@link Router}; every setting has a default. */
public final class RouterBuilder {
    /** The maximum load, as a multiple of the mean, up to which prefix affinity keeps calls at an upstream. */
    public static final double AFFINITY_MAX_LOAD_FACTOR = 1.05;

    /** The load of the least loaded local upstream from which upstreams in other zones are considered. */
    public static final double SPILLOVER_LOAD = 0.7;

    /** How far the load of the least loaded local upstream may exceed that in other zones. */
    public static final double SPILLOVER_LOAD_DIFFERENCE = 0.05;

    final MonotonicClock clock;
    final RandomGenerator random;
    OutlierDetector detector = RouteOutlierDetector.of(OutlierSettings.standard());
    Duration zoneRampTime = Duration.ofSeconds(30);
    double initialZoneShare = 0.05;
    Duration reportLifetime = Duration.ofSeconds(5);
    private RoutingPolicy policy;

    RouterBuilder(MonotonicClock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    /** Sets the policy; the default is {@link #standardPolicy}. */
    public RouterBuilder policy(RoutingPolicy value) {
        policy = Objects.requireNonNull(value, "policy");
        return this;
    }

    /** Sets the outlier detector; the default is {@link RouteOutlierDetector}. */
    public RouterBuilder outlierDetector(OutlierDetector value) {
        detector = Objects.requireNonNull(value, "outlierDetector");
        return this;
    }

    /**
     * Sets the time over which the share of an availability zone back in service grows to its full share, and the
     * fraction of the full share it starts with.
     */
    public RouterBuilder zoneRamp(Duration rampTime, double initialShare) {
        zoneRampTime = Objects.requireNonNull(rampTime, "rampTime");
        initialZoneShare = initialShare;
        return this;
    }

    /**
     * Sets the age from which the load of other entries in a load report is ignored; until then, its weight decreases
     * linearly. The reported limit and memory stay in use until the next report.
     */
    public RouterBuilder reportLifetime(Duration value) {
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException("reportLifetime: expected more than zero, found " + value);
        }
        reportLifetime = value;
        return this;
    }

    /** Builds the router. */
    public Router build() {
        return new Router(this);
    }

    /**
     * Returns the standard policy: prefix affinity with bounded load, with a fallback that prefers the local zone and
     * chooses by least predicted load.
     */
    public static RoutingPolicy standardPolicy(RandomGenerator random) {
        RoutingPolicy leastLoad = LeastPredictedLoad.startingAt(random.nextInt());
        return PrefixAffinity.of(
                AFFINITY_MAX_LOAD_FACTOR, ZonePreference.of(SPILLOVER_LOAD, SPILLOVER_LOAD_DIFFERENCE, leastLoad));
    }

    RoutingPolicy policy() {
        return policy == null ? standardPolicy(random) : policy;
    }
}

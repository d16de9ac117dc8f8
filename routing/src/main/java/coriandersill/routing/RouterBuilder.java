package coriandersill.routing;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/** Settings of a {@link Router}; every one has a standard value. */
public final class RouterBuilder {
    /** How many times the mean load an upstream carries at most for the sake of cached prefixes. */
    public static final double AFFINITY_LOAD_FACTOR = 1.05;

    /** The load of the least loaded local upstream from which other zones are considered. */
    public static final double SPILLOVER_LOAD = 0.7;

    /** How much more loaded than elsewhere local upstreams may be. */
    public static final double SPILLOVER_LOAD_DIFFERENCE = 0.05;

    final MonotonicClock clock;
    final RandomGenerator random;
    OutlierDetector detector = RouteOutlierDetector.of(OutlierSettings.standard());
    Duration zoneRamp = Duration.ofSeconds(30);
    double firstZoneShare = 0.05;
    Duration reportLifetime = Duration.ofSeconds(5);
    private RoutingPolicy policy;

    RouterBuilder(MonotonicClock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    /** Sets the policy; the standard one is {@link #standardPolicy}. */
    public RouterBuilder policy(RoutingPolicy value) {
        policy = Objects.requireNonNull(value, "policy");
        return this;
    }

    /** Sets the detector; the standard one is {@link RouteOutlierDetector}. */
    public RouterBuilder outlierDetector(OutlierDetector value) {
        detector = Objects.requireNonNull(value, "outlierDetector");
        return this;
    }

    /**
     * Sets the time in which a returned availability zone's share grows to the usual one, and the share it starts with.
     */
    public RouterBuilder zoneRamp(Duration ramp, double firstShare) {
        zoneRamp = Objects.requireNonNull(ramp, "ramp");
        firstZoneShare = firstShare;
        return this;
    }

    /** Sets the age at which a load report no longer counts; until then its weight falls evenly. */
    public RouterBuilder reportLifetime(Duration value) {
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException("reportLifetime: expected more than zero, found " + value);
        }
        reportLifetime = value;
        return this;
    }

    /** Returns the router. */
    public Router build() {
        return new Router(this);
    }

    /**
     * Returns the standard policy: own zone first, then prefix affinity with bounded load, then least predicted load.
     */
    public static RoutingPolicy standardPolicy(RandomGenerator random) {
        RoutingPolicy leastLoad = LeastPredictedLoad.startingAt(random.nextInt());
        return PrefixAffinity.of(
                AFFINITY_LOAD_FACTOR, ZonePreference.of(SPILLOVER_LOAD, SPILLOVER_LOAD_DIFFERENCE, leastLoad));
    }

    RoutingPolicy policy() {
        return policy == null ? standardPolicy(random) : policy;
    }
}

package coriandersill.bench.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.rollout.EvidenceCell;
import coriandersill.rollout.EvidenceTable;
import coriandersill.rollout.LatencyHistogram;
import coriandersill.rollout.Stratum;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates the calls of the old and the new version, window by window.
 *
 * <p>The number of calls is Poisson-distributed, one call in a hundred fails, and latencies are lognormal. The error
 * rate and the latencies vary with a slowly changing noise that all cells share. In {@link RolloutScenario#GOOD_NOISY}
 * each cell has additional independent noise and bursts of failures.
 */
final class SimulatedTraffic {
    /** The factor by which a bad version's latencies are longer; also the criterion of the judges. */
    static final double LATENCY_FACTOR = 2;

    /** The factor by which a bad version has more errors; also the criterion of the judges. */
    static final double ERROR_FACTOR = 3;

    private static final double ERROR_RATE = 0.01;
    private static final double MEDIAN_FIRST_TOKEN_NANOS = 400e6;
    private static final double FIRST_TOKEN_SIGMA = 0.5;
    private static final double MEDIAN_BETWEEN_TOKENS_NANOS = 35e6;
    private static final double BETWEEN_TOKENS_SIGMA = 0.25;
    /** The traffic share from which versions that are bad only under load are bad. */
    private static final double MIN_BAD_SHARE_UNDER_LOAD = 0.3;

    private static final double ERROR_BURST_PROBABILITY = 0.01;
    private static final double ERROR_BURST_FACTOR = 6;
    private static final double SHARED_CAUSE_ERROR_FACTOR = 5;
    private static final double SHARED_CAUSE_LATENCY_FACTOR = 2;

    private final RolloutWorkload workload;
    private final RolloutScenario scenario;
    private final SplittableRandom random;
    private final CallSampler sampler;
    private final RouteName badRoute;
    /** When the new version becomes bad, as a fraction of the time to the deadline. */
    private final double onsetFraction;

    /**
     * When the disturbance starts, as a fraction of the time to the deadline. Depending on the scenario, the
     * disturbance is the zone change or the cause shared by both versions.
     */
    private final double disturbanceStartFraction;

    /** When the disturbance ends, as a fraction of the time to the deadline. */
    private final double disturbanceEndFraction;

    private final Map<AvailabilityZone, Double> latencyFactorByZone = new TreeMap<>();
    private double commonNoise;
    private double harmedRequests;

    SimulatedTraffic(RolloutWorkload workload, RolloutScenario scenario, SplittableRandom random) {
        this.workload = workload;
        this.scenario = scenario;
        this.random = random;
        this.sampler = new CallSampler(random);
        List<RouteName> routes = workload.routes().keySet().stream().sorted().toList();
        this.badRoute = routes.get(random.nextInt(routes.size()));
        this.onsetFraction = scenario.startsLater() ? 0.05 + 0.25 * random.nextDouble() : 0;
        this.disturbanceStartFraction = 0.05 + 0.6 * random.nextDouble();
        this.disturbanceEndFraction = disturbanceStartFraction + 0.04 + 0.1 * random.nextDouble();
        workload.zones().forEach(zone -> latencyFactorByZone.put(zone, Math.exp(0.1 * random.nextGaussian())));
    }

    /** Returns whether a zone is leaving, out of service or returning at this fraction of the total time. */
    boolean isZoneChanging(double elapsedFraction) {
        return scenario == RolloutScenario.GOOD_ZONE_LEAVES && isDisturbed(elapsedFraction);
    }

    /** Returns the number of requests sent to the new version on routes and at times where it was bad. */
    double harmedRequests() {
        return harmedRequests;
    }

    /** Returns the number of requests, over the total time, on the routes on which the version can be bad. */
    double exposedRequests() {
        double routeFraction = scenario.isOnOneRoute() ? workload.routes().get(badRoute) : 1;
        return workload.requestsPerSecond()
                * routeFraction
                * workload.timeToDeadline().toSeconds();
    }

    /**
     * Adds the expected number of requests sent to a bad version in {@code windows} windows, which may be a fraction.
     */
    void addHarmedRequests(double elapsedFraction, double share, double windows) {
        for (Map.Entry<RouteName, Double> route : workload.routes().entrySet()) {
            if (isBad(route.getKey(), elapsedFraction, share)) {
                harmedRequests += workload.requestsPerSecond()
                        * route.getValue()
                        * share
                        * windows
                        * EvidenceTable.WINDOW.toSeconds();
            }
        }
    }

    /** Samples the calls of the window at this fraction of the total time, for this share of the new version. */
    List<Stratum> sampleWindow(double elapsedFraction, double share) {
        commonNoise = 0.95 * commonNoise + 0.03 * random.nextGaussian();
        AvailabilityZone zoneOutOfService =
                isZoneChanging(elapsedFraction) ? workload.zones().get(0) : null;
        int zonesInService = workload.zones().size() - (zoneOutOfService == null ? 0 : 1);
        List<Stratum> strata = new ArrayList<>();
        workload.routes().forEach((route, routeFraction) -> {
            double calls =
                    workload.requestsPerSecond() * routeFraction / zonesInService * EvidenceTable.WINDOW.toSeconds();
            boolean bad = isBad(route, elapsedFraction, share);
            for (AvailabilityZone zone : workload.zones()) {
                if (!zone.equals(zoneOutOfService)) {
                    double latencyFactor = latencyFactorByZone.get(zone) * Math.exp(commonNoise);
                    EvidenceCell oldCell = sampleCell(calls * (1 - share), elapsedFraction, latencyFactor, false);
                    EvidenceCell newCell = sampleCell(calls * share, elapsedFraction, latencyFactor, bad);
                    strata.add(new Stratum(route, zone, oldCell, newCell));
                }
            }
        });
        return strata;
    }

    private EvidenceCell sampleCell(double meanCalls, double elapsedFraction, double latencyFactor, boolean bad) {
        double errorRate = ERROR_RATE * Math.exp(commonNoise);
        double cellLatencyFactor = latencyFactor;
        if (scenario == RolloutScenario.GOOD_SHARED_CAUSE && isDisturbed(elapsedFraction)) {
            errorRate *= SHARED_CAUSE_ERROR_FACTOR;
            cellLatencyFactor *= SHARED_CAUSE_LATENCY_FACTOR;
        }
        if (scenario == RolloutScenario.GOOD_NOISY) {
            errorRate *= Math.exp(0.5 * random.nextGaussian())
                    * (random.nextDouble() < ERROR_BURST_PROBABILITY ? ERROR_BURST_FACTOR : 1);
            cellLatencyFactor *= Math.exp(0.1 * random.nextGaussian());
        }
        if (bad && scenario.hasErrors()) {
            errorRate *= ERROR_FACTOR;
        } else if (bad) {
            cellLatencyFactor *= LATENCY_FACTOR;
        }
        long calls = sampler.poisson(meanCalls);
        long failures = Math.min(calls, sampler.poisson(calls * Math.min(1, errorRate)));
        long answered = calls - failures;
        LatencyHistogram first =
                sampler.latencies(answered, MEDIAN_FIRST_TOKEN_NANOS * cellLatencyFactor, FIRST_TOKEN_SIGMA);
        LatencyHistogram between =
                sampler.latencies(answered, MEDIAN_BETWEEN_TOKENS_NANOS * cellLatencyFactor, BETWEEN_TOKENS_SIGMA);
        return new EvidenceCell(calls, failures, first, between);
    }

    private boolean isBad(RouteName route, double elapsedFraction, double share) {
        return !scenario.isGood()
                && elapsedFraction >= onsetFraction
                && (!scenario.isOnlyUnderLoad() || share >= MIN_BAD_SHARE_UNDER_LOAD)
                && (!scenario.isOnOneRoute() || route.equals(badRoute));
    }

    private boolean isDisturbed(double elapsedFraction) {
        return elapsedFraction >= disturbanceStartFraction && elapsedFraction < disturbanceEndFraction;
    }
}

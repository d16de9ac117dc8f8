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
 * Draws the calls of both versions, window by window.
 *
 * <p>Calls are Poisson in number, one in a hundred fails, and latencies are lognormal; both swing by a slow common
 * noise. A noisy version's windows swing further, each by itself, with bursts of failures.
 */
final class SimulatedTraffic {
    static final double LATENCY_FACTOR = 2;
    static final double ERROR_FACTOR = 3;
    private static final double ERROR_RATE = 0.01;
    private static final double FIRST_TOKEN_NANOS = 400e6;
    private static final double FIRST_TOKEN_SIGMA = 0.5;
    private static final double BETWEEN_TOKENS_NANOS = 35e6;
    private static final double BETWEEN_TOKENS_SIGMA = 0.25;
    private static final double UNDER_LOAD_SHARE = 0.3;
    private static final double BURST_CHANCE = 0.01;
    private static final double BURST_FACTOR = 6;
    private static final double SHARED_ERRORS = 5;
    private static final double SHARED_LATENCY = 2;

    private final Deployment deployment;
    private final RolloutScenario kind;
    private final SplittableRandom random;
    private final CallSampler draws;
    private final RouteName badRoute;
    private final double onset;
    private final double eventStart;
    private final double eventEnd;
    private final Map<AvailabilityZone, Double> zoneFactors = new TreeMap<>();
    private double commonNoise;
    private double harmed;

    SimulatedTraffic(Deployment deployment, RolloutScenario kind, SplittableRandom random) {
        this.deployment = deployment;
        this.kind = kind;
        this.random = random;
        this.draws = new CallSampler(random);
        List<RouteName> routes = deployment.routes().keySet().stream().sorted().toList();
        this.badRoute = routes.get(random.nextInt(routes.size()));
        this.onset = kind.later() ? 0.05 + 0.25 * random.nextDouble() : 0;
        this.eventStart = 0.05 + 0.6 * random.nextDouble();
        this.eventEnd = eventStart + 0.04 + 0.1 * random.nextDouble();
        deployment.zones().forEach(zone -> zoneFactors.put(zone, Math.exp(0.1 * random.nextGaussian())));
    }

    /** Whether a zone is leaving, out or returning at this part of the time. */
    boolean zoneChanging(double part) {
        return kind == RolloutScenario.GOOD_ZONE_LEAVES && inEvent(part);
    }

    /** Requests that went to the new version while it was bad, on routes where it was. */
    double harmed() {
        return harmed;
    }

    /** The traffic of the routes on which the version is bad, over the whole time. */
    double exposedTraffic() {
        double part = kind.oneRoute() ? deployment.routes().get(badRoute) : 1;
        return deployment.requestsPerSecond() * part * deployment.total().toSeconds();
    }

    /** Counts what a bad version is sent in {@code windows} (a part of one) without drawing the calls. */
    void countHarm(double part, double share, double windows) {
        for (Map.Entry<RouteName, Double> route : deployment.routes().entrySet()) {
            if (bad(route.getKey(), part, share)) {
                harmed += deployment.requestsPerSecond()
                        * route.getValue()
                        * share
                        * windows
                        * EvidenceTable.WINDOW.toSeconds();
            }
        }
    }

    /** Returns the calls of the window at this part of the time, with this share of the new version. */
    List<Stratum> window(double part, double share) {
        commonNoise = 0.95 * commonNoise + 0.03 * random.nextGaussian();
        AvailabilityZone gone = zoneChanging(part) ? deployment.zones().get(0) : null;
        int zones = deployment.zones().size() - (gone == null ? 0 : 1);
        List<Stratum> strata = new ArrayList<>();
        deployment.routes().forEach((route, routePart) -> {
            double calls = deployment.requestsPerSecond() * routePart / zones * EvidenceTable.WINDOW.toSeconds();
            boolean bad = bad(route, part, share);
            for (AvailabilityZone zone : deployment.zones()) {
                if (!zone.equals(gone)) {
                    double slow = zoneFactors.get(zone) * Math.exp(commonNoise);
                    EvidenceCell from = cell(calls * (1 - share), part, slow, false);
                    EvidenceCell to = cell(calls * share, part, slow, bad);
                    strata.add(new Stratum(route, zone, from, to));
                }
            }
        });
        return strata;
    }

    private EvidenceCell cell(double meanCalls, double part, double slow, boolean bad) {
        double errors = ERROR_RATE * Math.exp(commonNoise);
        double latency = slow;
        if (kind == RolloutScenario.GOOD_SHARED_CAUSE && inEvent(part)) {
            errors *= SHARED_ERRORS;
            latency *= SHARED_LATENCY;
        }
        if (kind == RolloutScenario.GOOD_NOISY) {
            errors *= Math.exp(0.5 * random.nextGaussian()) * (random.nextDouble() < BURST_CHANCE ? BURST_FACTOR : 1);
            latency *= Math.exp(0.1 * random.nextGaussian());
        }
        if (bad && kind.errors()) {
            errors *= ERROR_FACTOR;
        } else if (bad) {
            latency *= LATENCY_FACTOR;
        }
        long calls = draws.poisson(meanCalls);
        long failures = Math.min(calls, draws.poisson(calls * Math.min(1, errors)));
        long answered = calls - failures;
        LatencyHistogram first = draws.latencies(answered, FIRST_TOKEN_NANOS * latency, FIRST_TOKEN_SIGMA);
        LatencyHistogram between = draws.latencies(answered, BETWEEN_TOKENS_NANOS * latency, BETWEEN_TOKENS_SIGMA);
        return new EvidenceCell(calls, failures, first, between);
    }

    private boolean bad(RouteName route, double part, double share) {
        return !kind.good()
                && part >= onset
                && (!kind.underLoad() || share >= UNDER_LOAD_SHARE)
                && (!kind.oneRoute() || route.equals(badRoute));
    }

    private boolean inEvent(double part) {
        return part >= eventStart && part < eventEnd;
    }
}

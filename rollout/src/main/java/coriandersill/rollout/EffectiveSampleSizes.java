package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.HashMap;
import java.util.Map;

/**
 * How much evidence a rollout has given, by route.
 *
 * <p>A window with {@code n0} calls of the old version and {@code n1} of the new one counts as {@code n0 n1 / (n0 +
 * n1)} weighed calls: the comparison is as sharp as the smaller side allows.
 */
final class EffectiveSampleSizes {
    private static final double STEP_RATIO = 1.2;

    private final Map<RouteName, Double> total = new HashMap<>();
    private final Map<RouteName, Double> sinceStep = new HashMap<>();
    private double stepShare;
    private long oldCalls;
    private long oldFailures;
    private long calls;

    /** Starts a window; a share that has grown by a step starts the count since the step anew. */
    void nextWindow(double share) {
        if (share >= stepShare * STEP_RATIO) {
            stepShare = share;
            sinceStep.replaceAll((route, weighed) -> 0.0);
        }
    }

    void add(Stratum stratum) {
        long from = stratum.from().calls();
        long to = stratum.to().calls();
        oldCalls += from;
        oldFailures += stratum.from().failures();
        calls += to;
        if (from + to > 0) {
            double weighed = (double) from * to / (from + to);
            total.merge(stratum.route(), weighed, Double::sum);
            sinceStep.merge(stratum.route(), weighed, Double::sum);
        }
    }

    double thinnestRoute() {
        return thinnest(total);
    }

    double thinnestRouteSinceStep() {
        return thinnest(sinceStep);
    }

    double oldErrorRate() {
        return oldCalls == 0 ? 0 : (double) oldFailures / oldCalls;
    }

    /** Returns how many calls the new version has served. */
    long calls() {
        return calls;
    }

    private static double thinnest(Map<RouteName, Double> weighed) {
        return weighed.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
    }
}

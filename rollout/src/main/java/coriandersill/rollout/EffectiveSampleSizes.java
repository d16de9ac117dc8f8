package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.HashMap;
import java.util.Map;

/**
 * Accumulates the effective sample size of the comparison on each route.
 *
 * <p>A stratum with {@code n0} calls of the old version and {@code n1} of the new one counts as {@code n0 n1 / (n0 +
 * n1)} calls, since the smaller group limits the precision of the comparison.
 */
final class EffectiveSampleSizes {
    private static final double MIN_SHARE_INCREASE_RATIO = 1.2;

    private final Map<RouteName, Double> byRoute = new HashMap<>();
    private final Map<RouteName, Double> byRouteSinceStep = new HashMap<>();
    private double shareAtLastStep;
    private long oldCalls;
    private long oldFailures;
    private long newCalls;

    /**
     * Begins a window; resets the sizes since the last step if the share has grown to at least
     * {@link #MIN_SHARE_INCREASE_RATIO} times that of the last step.
     */
    void beginWindow(double share) {
        if (share >= shareAtLastStep * MIN_SHARE_INCREASE_RATIO) {
            shareAtLastStep = share;
            byRouteSinceStep.replaceAll((route, size) -> 0.0);
        }
    }

    void add(Stratum stratum) {
        long oldCount = stratum.oldCell().calls();
        long newCount = stratum.newCell().calls();
        oldCalls += oldCount;
        oldFailures += stratum.oldCell().failures();
        newCalls += newCount;
        if (oldCount + newCount > 0) {
            double size = (double) oldCount * newCount / (oldCount + newCount);
            byRoute.merge(stratum.route(), size, Double::sum);
            byRouteSinceStep.merge(stratum.route(), size, Double::sum);
        }
    }

    /** Returns the smallest effective sample size of any route; 0 without evidence. */
    double smallest() {
        return smallestOf(byRoute);
    }

    double smallestSinceStep() {
        return smallestOf(byRouteSinceStep);
    }

    double oldErrorRate() {
        return oldCalls == 0 ? 0 : (double) oldFailures / oldCalls;
    }

    /** Returns the number of calls served by the new version. */
    long newCalls() {
        return newCalls;
    }

    private static double smallestOf(Map<RouteName, Double> sizes) {
        return sizes.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
    }
}

package coriandersill.rollout;

/**
 * Prior weights of the hypothesis "the version becomes bad in this window", for each window of a rollout.
 *
 * <p>The weights add up to at most 1. The first window has a weight of 0.3 (bad from the start). Each of the first ten
 * increases of the share by half or more adds 0.05 (bad under load), and up to 96 evenly spaced windows split the
 * remaining 0.2 (bad only later).
 */
final class ChangePointPrior {
    private static final double FIRST_WINDOW_WEIGHT = 0.3;
    private static final double TOTAL_STEP_WEIGHT = 0.5;
    private static final double TOTAL_SPACED_WEIGHT = 0.2;
    private static final int MAX_WEIGHTED_STEPS = 10;
    private static final int MAX_SPACED_WINDOWS = 96;
    private static final double MIN_SHARE_INCREASE_RATIO = 1.5;

    private final long spacingWindows;
    private long windowCount;
    private int stepCount;
    private int spacedWindowCount;
    private double lastStepShare;

    ChangePointPrior(long plannedWindows) {
        this.spacingWindows = Math.max(1, plannedWindows / MAX_SPACED_WINDOWS);
    }

    /** Returns the prior weight of the next window, in which the new version receives {@code share} of the traffic. */
    double nextWeight(double share) {
        double weight = 0;
        if (windowCount == 0) {
            weight += FIRST_WINDOW_WEIGHT;
            lastStepShare = share;
        }
        if (share >= lastStepShare * MIN_SHARE_INCREASE_RATIO && stepCount < MAX_WEIGHTED_STEPS) {
            weight += TOTAL_STEP_WEIGHT / MAX_WEIGHTED_STEPS;
            lastStepShare = share;
            stepCount++;
        }
        windowCount++;
        if (windowCount % spacingWindows == 0 && spacedWindowCount < MAX_SPACED_WINDOWS) {
            weight += TOTAL_SPACED_WEIGHT / MAX_SPACED_WINDOWS;
            spacedWindowCount++;
        }
        return weight;
    }
}

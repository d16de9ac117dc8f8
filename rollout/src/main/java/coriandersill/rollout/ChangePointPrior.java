package coriandersill.rollout;

/**
 * The prior weight of "the version turns bad in this window", adding up to at most 1 over a rollout.
 *
 * <p>The first window has a large weight (bad at once), each of the first steps of the share a medium one (bad under
 * load), and evenly spaced windows share the rest (bad only later).
 */
final class ChangePointPrior {
    private static final double FIRST = 0.3;
    private static final double STEPS = 0.5;
    private static final double LATER = 0.2;
    private static final int MAX_STEPS = 10;
    private static final int LATER_STARTS = 96;
    private static final double STEP_RATIO = 1.5;

    private final long spacing;
    private long seen;
    private int steps;
    private int laterStarts;
    private double lastStepShare;

    ChangePointPrior(long plannedWindows) {
        this.spacing = Math.max(1, plannedWindows / LATER_STARTS);
    }

    /** Returns the weight of the next window, in which the new version has {@code share} of the traffic. */
    double next(double share) {
        double weight = 0;
        if (seen == 0) {
            weight += FIRST;
            lastStepShare = share;
        }
        if (share >= lastStepShare * STEP_RATIO && steps < MAX_STEPS) {
            weight += STEPS / MAX_STEPS;
            lastStepShare = share;
            steps++;
        }
        seen++;
        if (seen % spacing == 0 && laterStarts < LATER_STARTS) {
            weight += LATER / LATER_STARTS;
            laterStarts++;
        }
        return weight;
    }
}

package coriandersill.bench.rollout;

import coriandersill.rollout.RolloutPhase;

/**
 * How one simulated rollout ended.
 *
 * @param verdict the verdict
 * @param endPart when, as a part of the time to the deadline
 * @param harmedPart requests sent to the new version while it was bad, as a part of the affected routes' traffic
 * @param reason the reason of the verdict
 */
record RolloutResult(RolloutPhase verdict, double endPart, double harmedPart, String reason) {}

package coriandersill.bench.rollout;

import coriandersill.rollout.RolloutPhase;

/**
 * The result of one simulated rollout.
 *
 * @param verdict the final phase
 * @param endFraction when, as a part of the time to the deadline
 * @param harmedFraction requests sent to the new version while it was bad, as a part of the affected routes' traffic
 * @param reason the reason of the verdict
 */
record RolloutResult(RolloutPhase verdict, double endFraction, double harmedFraction, String reason) {}

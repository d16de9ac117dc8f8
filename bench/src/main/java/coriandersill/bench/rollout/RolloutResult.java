package coriandersill.bench.rollout;

import coriandersill.rollout.RolloutPhase;

/**
 * The result of one simulated rollout.
 *
 * @param verdict the final phase
 * @param endFraction the time from the declaration to the verdict, as a fraction of the time to the deadline
 * @param harmedFraction requests sent to the new version while it was bad, as a fraction of all requests on the
 *     affected routes until the deadline
 * @param reason the reason of the verdict
 */
record RolloutResult(RolloutPhase verdict, double endFraction, double harmedFraction, String reason) {}

package coriandersill.rollout;

import java.time.Instant;

/**
 * The input of a decision by a {@link Pacer}.
 *
 * @param plan the rollout
 * @param phase its current phase
 * @param share the current share of the new version
 * @param lastTransitionAt when the phase or the share last changed
 * @param phaseSince when the rollout entered the phase
 * @param now the current time
 * @param judgement the judgement on the evidence so far
 * @param conditions the external conditions that limit the rollout
 */
public record PaceInput(
        RolloutPlan plan,
        RolloutPhase phase,
        double share,
        Instant lastTransitionAt,
        Instant phaseSince,
        Instant now,
        Judgement judgement,
        Conditions conditions) {

    /**
     * The external conditions that limit a rollout.
     *
     * @param warmShare the share of the service's traffic that the upstreams of the new version can serve now, given
     *     their cold limits and memory; 0 if none is ready
     * @param zoneChanging whether any configured zone is leaving, out of service or returning, even one in which the
     *     service does not run
     * @param reportsComplete whether every live entry has recently reported its evidence
     */
    public record Conditions(double warmShare, boolean zoneChanging, boolean reportsComplete) {

        /** Returns conditions that impose no limit. */
        public static Conditions unrestricted() {
            return new Conditions(1, false, true);
        }
    }
}

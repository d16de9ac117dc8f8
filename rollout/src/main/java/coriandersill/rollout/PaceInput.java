package coriandersill.rollout;

import java.time.Instant;

/**
 * What a {@link Pacer} decides on.
 *
 * @param plan the rollout
 * @param phase its phase
 * @param share the share of the new version
 * @param since when it got that share
 * @param phaseSince when it entered the phase
 * @param now the time
 * @param judgement what the evidence shows
 * @param conditions what the surroundings allow
 */
public record PaceInput(
        RolloutPlan plan,
        RolloutPhase phase,
        double share,
        Instant since,
        Instant phaseSince,
        Instant now,
        Judgement judgement,
        Conditions conditions) {

    /**
     * What the surroundings allow.
     *
     * @param warmShare the share of the service's traffic that the new version's upstreams bear now, by their cold
     *     limits and memory; 0 when none is ready
     * @param zoneChanging whether a zone of the service is leaving or returning
     * @param reportsComplete whether every live entry has reported its evidence lately
     */
    public record Conditions(double warmShare, boolean zoneChanging, boolean reportsComplete) {

        /** Returns conditions that hold nothing back. */
        public static Conditions unrestricted() {
            return new Conditions(1, false, true);
        }
    }
}

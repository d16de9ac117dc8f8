package coriandersill.rollout;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * One recorded step of a rollout.
 *
 * @param id the rollout
 * @param phase the phase it enters or stays in
 * @param share the share of traffic of the new version from now on, from 0 to 1
 * @param fencingToken the fencing token of the lease under which the step was taken; 0 for a rollback without a lease
 * @param source the process that took the step
 * @param evidence why, in one line
 */
public record RolloutTransition(
        RolloutId id, RolloutPhase phase, double share, long fencingToken, InstanceId source, String evidence) {

    /** Refuses null, a share out of range, and a verdict with a share that does not fit it. */
    public RolloutTransition {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(evidence, "evidence");
        boolean fits = phase == RolloutPhase.DONE
                ? share == 1
                : phase == RolloutPhase.ROLLED_BACK ? share == 0 : share >= 0 && share <= 1;
        if (!fits) {
            throw new IllegalArgumentException("share: found " + share + ", which does not fit " + phase);
        }
    }

    /** Returns the record of a rollback; it needs no lease. */
    public static RolloutTransition rollback(RolloutId id, InstanceId source, String evidence) {
        return new RolloutTransition(id, RolloutPhase.ROLLED_BACK, 0, 0, source, evidence);
    }
}

package coriandersill.rollout;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * A transition of a rollout, as recorded in the log.
 *
 * @param id the rollout
 * @param phase the new phase; may be the same as before
 * @param share the new share of traffic of the new version, from 0 to 1; 1 in the phase {@code DONE} and 0 in
 *     {@code ROLLED_BACK}
 * @param fencingToken the fencing token of the lease under which the record was written; 0 for a rollback without one
 * @param source the process that wrote the record
 * @param reason the reason for the transition, in one line
 */
public record RolloutTransition(
        RolloutId id, RolloutPhase phase, double share, long fencingToken, InstanceId source, String reason) {

    /** Throws if an object is null or {@code share} is out of range for {@code phase}. */
    public RolloutTransition {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(reason, "reason");
        double minShare = phase == RolloutPhase.DONE ? 1 : 0;
        double maxShare = phase == RolloutPhase.ROLLED_BACK ? 0 : 1;
        if (!(share >= minShare && share <= maxShare)) {
            throw new IllegalArgumentException(
                    "share: expected from " + minShare + " to " + maxShare + " in phase " + phase + ", found " + share);
        }
    }

    /** Returns a rollback, which requires no lease. */
    public static RolloutTransition rollback(RolloutId id, InstanceId source, String reason) {
        return new RolloutTransition(id, RolloutPhase.ROLLED_BACK, 0, 0, source, reason);
    }
}

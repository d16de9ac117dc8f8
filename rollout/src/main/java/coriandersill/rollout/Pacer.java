package coriandersill.rollout;

/**
 * Decides the next step of a rollout; implementations have no state.
 *
 * @see DeadlinePacer
 * @see FixedStepPacer
 */
@FunctionalInterface
public interface Pacer {

    /** Returns the phase and share that the rollout should have now; those it has when nothing is to change. */
    Step next(PaceInput input);

    /**
     * A step.
     *
     * @param phase the phase
     * @param share the share of the new version
     * @param reason why, in one line
     */
    record Step(RolloutPhase phase, double share, String reason) {}
}

package coriandersill.rollout;

/**
 * Decides the next step of a rollout. Implementations are stateless.
 *
 * @see DeadlinePacer
 * @see FixedStepPacer
 */
@FunctionalInterface
public interface Pacer {

    /** Returns the phase and share that the rollout should have now; the current ones if nothing should change. */
    Step next(PaceInput input);

    /**
     * The decision of a pacer.
     *
     * @param phase the phase
     * @param share the share of the new version
     * @param reason the reason for the decision, in one line
     */
    record Step(RolloutPhase phase, double share, String reason) {}
}

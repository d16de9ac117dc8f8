package coriandersill.rollout;

import java.time.Duration;

/**
 * Raises the share by fixed steps at equal intervals and completes the rollout after the last one. It is the baseline
 * against which {@link DeadlinePacer} is evaluated.
 */
public final class FixedStepPacer implements Pacer {
    private static final double[] SHARES = {0.01, 0.05, 0.2, 0.5, 0.9};

    private FixedStepPacer() {}

    /** Returns the pacer. */
    public static FixedStepPacer create() {
        return new FixedStepPacer();
    }

    @Override
    public Step next(PaceInput input) {
        if (input.phase().isTerminal()) {
            return new Step(input.phase(), input.share(), "decided");
        }
        if (input.judgement().finding() == Judgement.Finding.BAD) {
            return new Step(RolloutPhase.ROLLED_BACK, 0, input.judgement().reason());
        }
        Duration elapsed = Duration.between(input.plan().declaredAt(), input.now());
        double fraction = (double) elapsed.toMillis() / input.plan().duration().toMillis();
        int step = (int) Math.floor(fraction * (SHARES.length + 1));
        if (step >= SHARES.length) {
            return input.phase() == RolloutPhase.PROBATION
                    ? new Step(RolloutPhase.DONE, 1, "last step passed")
                    : new Step(RolloutPhase.PROBATION, input.share(), "last step");
        }
        RolloutPhase phase = step == 0 ? RolloutPhase.CANARY : RolloutPhase.RAMP;
        double share = Math.max(
                input.share(), Math.min(SHARES[step], input.conditions().warmShare()));
        return new Step(phase, share, "step " + step);
    }
}

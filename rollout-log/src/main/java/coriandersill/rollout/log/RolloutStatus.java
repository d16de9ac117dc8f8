package coriandersill.rollout.log;

import coriandersill.rollout.Judgement;
import coriandersill.rollout.RolloutPlan;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.RolloutVerdict;
import java.util.Optional;

/**
 * Where a rollout stands, as this process sees it.
 *
 * @param plan what was asked for
 * @param state its state by the log; empty before its first record
 * @param localStop why this process sends nothing to the new version, if it does not
 * @param judgement what the evidence that reached this process shows
 * @param nextStep what holds the next step back or lets it go, in one line
 */
public record RolloutStatus(
        RolloutPlan plan,
        Optional<RolloutState> state,
        Optional<RolloutVerdict> localStop,
        Judgement judgement,
        String nextStep) {}

package coriandersill.rollout.log;

import coriandersill.rollout.Judgement;
import coriandersill.rollout.RolloutPlan;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.RolloutVerdict;
import java.util.Optional;

/**
 * The status of a rollout as seen by this process.
 *
 * @param plan the declared parameters of the rollout
 * @param state the state according to the log; empty before the first record
 * @param localStop the verdict by which this process stopped traffic to the new version, if it did
 * @param judgement the judgement on the evidence received by this process
 * @param decisionReason the reason for the latest decision to hold or take the next step, in one line
 */
public record RolloutStatus(
        RolloutPlan plan,
        Optional<RolloutState> state,
        Optional<RolloutVerdict> localStop,
        Judgement judgement,
        String decisionReason) {}

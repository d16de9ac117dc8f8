package coriandersill.rollout;

/**
 * Makes the judge of a rollout.
 *
 * @see SequentialJudge
 * @see FixedSampleJudge
 * @see ThresholdJudge
 */
@FunctionalInterface
public interface JudgeFactory {

    /** Returns a judge that has seen nothing yet. */
    Judge create(JudgeSettings settings);
}

package coriandersill.rollout;

/**
 * Creates the judge of a rollout.
 *
 * @see SequentialJudge
 * @see FixedSampleJudge
 * @see ThresholdJudge
 */
@FunctionalInterface
public interface JudgeFactory {

    /** Returns a judge that has not observed any evidence. */
    Judge create(JudgeSettings settings);
}

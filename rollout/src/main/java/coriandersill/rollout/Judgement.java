package coriandersill.rollout;

import java.util.Objects;

/**
 * The result of comparing the two versions of a rollout on the evidence so far.
 *
 * @param finding the finding
 * @param progress the amount of evidence relative to that needed to detect a bad version: 0 for none, 1 or more for
 *     enough
 * @param stepProgress the same for the evidence since the share was last raised
 * @param suspicion the ratio of the evidence in the strongest signal to its alarm level: 0 for no evidence against the
 *     version, 1 or more for an alarm
 * @param calls calls served by the new version
 * @param reason the signal and route with the strongest evidence against the version, and its value
 */
public record Judgement(
        Finding finding, double progress, double stepProgress, double suspicion, long calls, String reason) {

    /** Throws {@link NullPointerException} if {@code finding} or {@code reason} is null. */
    public Judgement {
        Objects.requireNonNull(finding, "finding");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns the judgement without any evidence. */
    public static Judgement none() {
        return new Judgement(Finding.THIN, 0, 0, 0, 0, "no evidence yet");
    }

    /** The conclusion from the evidence. */
    public enum Finding {
        /** There is not yet enough evidence to detect a bad version. */
        THIN,
        /** There is enough evidence to detect a bad version, and none was detected. */
        PROVEN,
        /** The new version is bad. */
        BAD
    }
}

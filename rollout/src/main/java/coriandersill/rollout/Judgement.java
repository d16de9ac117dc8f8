package coriandersill.rollout;

import java.util.Objects;

/**
 * What the evidence shows so far.
 *
 * @param finding the finding
 * @param progress how much of the evidence that would expose a bad version is there: 0 for none, 1 or more for enough
 * @param stepProgress the same for what was seen since the share last grew
 * @param suspicion how near the strongest signal is to the alarm: 0 for not at all, 1 for an alarm
 * @param calls calls that the new version has served
 * @param reason the route and signal with the strongest evidence, with its figures
 */
public record Judgement(
        Finding finding, double progress, double stepProgress, double suspicion, long calls, String reason) {

    /** Refuses null. */
    public Judgement {
        Objects.requireNonNull(finding, "finding");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns the judgement before any evidence. */
    public static Judgement none() {
        return new Judgement(Finding.THIN, 0, 0, 0, 0, "no evidence yet");
    }

    /** What the evidence says. */
    public enum Finding {
        /** A bad version might not have shown yet. */
        THIN,
        /** A bad version would have shown. */
        PROVEN,
        /** The version is bad. */
        BAD
    }
}

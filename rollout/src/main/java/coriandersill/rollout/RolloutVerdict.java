package coriandersill.rollout;

import coriandersill.core.InstanceId;
import java.util.Comparator;
import java.util.Objects;

/**
 * One process's finding that a new version is bad, spread from process to process without the log.
 *
 * <p>It stops traffic at once where it arrives. The verdict that operators are told is the one of the log.
 *
 * @param id the rollout
 * @param source the process that saw the evidence
 * @param foundAtMillis when, in milliseconds since the epoch by its clock
 * @param evidence what it saw, in one line
 */
public record RolloutVerdict(RolloutId id, InstanceId source, long foundAtMillis, String evidence) {
    private static final Comparator<RolloutVerdict> NEWER_ROLLOUT =
            Comparator.comparingLong(verdict -> verdict.id().declaredAt());
    private static final Comparator<RolloutVerdict> EARLIER_FINDING = Comparator.comparingLong(
                    RolloutVerdict::foundAtMillis)
            .thenComparing(RolloutVerdict::source)
            .thenComparing(RolloutVerdict::evidence);

    /** Refuses null. */
    public RolloutVerdict {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(evidence, "evidence");
    }

    /**
     * Returns which of two verdicts on one service is kept: that of the later rollout, and of one rollout the earlier
     * finding. The choice does not depend on the order in which verdicts arrive.
     */
    public RolloutVerdict merge(RolloutVerdict other) {
        int newer = NEWER_ROLLOUT.compare(this, other);
        if (newer != 0) {
            return newer > 0 ? this : other;
        }
        return EARLIER_FINDING.compare(this, other) <= 0 ? this : other;
    }
}

package coriandersill.rollout;

import coriandersill.core.InstanceId;
import java.util.Comparator;
import java.util.Objects;

/**
 * The decision to stop a rollout, because a process found the new version bad or an operator withdrew the rollout.
 *
 * <p>Verdicts are sent from process to process without the log, and each process that receives one stops traffic to the
 * version at once. The final state of the rollout is the one recorded in the log.
 *
 * @param id the rollout
 * @param source the process that made the finding, or {@code operator} for a withdrawal
 * @param foundAtMillis the time of the finding or withdrawal by the clock of the process that created the verdict, in
 *     milliseconds since the epoch
 * @param reason the evidence for the finding, or that the rollout was withdrawn, in one line
 */
public record RolloutVerdict(RolloutId id, InstanceId source, long foundAtMillis, String reason) {
    private static final Comparator<RolloutVerdict> BY_ROLLOUT =
            Comparator.comparingLong(verdict -> verdict.id().declarationPosition());
    private static final Comparator<RolloutVerdict> BY_FINDING_TIME = Comparator.comparingLong(
                    RolloutVerdict::foundAtMillis)
            .thenComparing(RolloutVerdict::source)
            .thenComparing(RolloutVerdict::reason);

    /** Throws {@link NullPointerException} if an object is null. */
    public RolloutVerdict {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(reason, "reason");
    }

    /**
     * Returns which of two verdicts on the same service is kept: that on the later rollout or, for the same rollout,
     * the earlier finding. The result does not depend on the order in which verdicts arrive.
     */
    public RolloutVerdict merge(RolloutVerdict other) {
        int rolloutOrder = BY_ROLLOUT.compare(this, other);
        if (rolloutOrder != 0) {
            return rolloutOrder > 0 ? this : other;
        }
        return BY_FINDING_TIME.compare(this, other) <= 0 ? this : other;
    }
}

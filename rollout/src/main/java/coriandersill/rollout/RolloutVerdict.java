package coriandersill.rollout;

import coriandersill.core.InstanceId;
import java.util.Comparator;
import java.util.Objects;

/**
 * A finding of one process that a new version is bad, sent from process to process without the log.
 *
 * <p>Each process that receives it stops traffic to the version at once. Operators are shown the final state recorded
 * in the log.
 *
 * @param id the rollout
 * @param source the process that made the finding
 * @param foundAtMillis the time of the finding by the clock of that process, in milliseconds since the epoch
 * @param reason the evidence for the finding, in one line
 */
public record RolloutVerdict(RolloutId id, InstanceId source, long foundAtMillis, String reason) {
    private static final Comparator<RolloutVerdict> BY_ROLLOUT =
            Comparator.comparingLong(verdict -> verdict.id().declarationOffset());
    private static final Comparator<RolloutVerdict> BY_FINDING_TIME = Comparator.comparingLong(
                    RolloutVerdict::foundAtMillis)
            .thenComparing(RolloutVerdict::source)
            .thenComparing(RolloutVerdict::reason);

    /** Throws {@link NullPointerException} if an object is null. */
    public RolloutVerdict {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(reason, "evidence");
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

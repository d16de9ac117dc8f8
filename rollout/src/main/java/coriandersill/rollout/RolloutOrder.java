package coriandersill.rollout;

import coriandersill.core.VersionName;
import java.time.Duration;
import java.util.Objects;

/**
 * An operator's order to move a service to another version.
 *
 * @param id the rollout; a later order for the service has a higher position
 * @param target the version to move to
 * @param duration the time from the order within which the rollout must be completed or reverted
 */
public record RolloutOrder(RolloutId id, VersionName target, Duration duration) {
    /** Throws if an argument is null or {@code duration} is not positive. */
    public RolloutOrder {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(target, "target");
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException("duration: expected above 0, found " + duration);
        }
    }

    /** Returns whether another order is for the same service, target and duration. */
    public boolean asksForSameAs(RolloutOrder other) {
        return id.service().equals(other.id.service())
                && target.equals(other.target)
                && duration.equals(other.duration);
    }
}

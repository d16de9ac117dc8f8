package coriandersill.rollout;

import coriandersill.core.VersionName;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * What an operator asked for.
 *
 * @param id the rollout
 * @param from the version that serves now
 * @param to the version that shall serve
 * @param declaredAt when it was declared
 * @param deadline when it is to be decided, after {@code declaredAt}
 * @param firstShare the share of traffic at the canary stage, above 0 and at most 1
 * @param probation how long the new version is watched once it has all traffic but a control share
 * @param criteria from what on the new version is bad
 */
public record RolloutPlan(
        RolloutId id,
        VersionName from,
        VersionName to,
        Instant declaredAt,
        Instant deadline,
        double firstShare,
        Duration probation,
        RegressionCriteria criteria) {

    /** Refuses null, equal versions, a deadline before the declaration and a share out of range. */
    public RolloutPlan {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(criteria, "criteria");
        if (from.equals(to)) {
            throw new IllegalArgumentException("to: expected another version than " + from);
        }
        if (!deadline.isAfter(declaredAt)) {
            throw new IllegalArgumentException("deadline: expected after " + declaredAt + ", found " + deadline);
        }
        if (!(firstShare > 0 && firstShare <= 1)) {
            throw new IllegalArgumentException("firstShare: expected above 0 and at most 1, found " + firstShare);
        }
        if (probation.isNegative()) {
            throw new IllegalArgumentException("probation: expected zero or more, found " + probation);
        }
    }

    /** Returns the time from the declaration to the deadline. */
    public Duration duration() {
        return Duration.between(declaredAt, deadline);
    }
}

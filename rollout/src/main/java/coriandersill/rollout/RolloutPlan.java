package coriandersill.rollout;

import coriandersill.core.VersionName;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * The parameters of a rollout, as declared by an operator.
 *
 * @param id the rollout
 * @param from the version that serves the traffic now
 * @param to the version to roll out
 * @param declaredAt when the rollout was declared
 * @param deadline the time by which it must be decided, after {@code declaredAt}
 * @param firstShare the share of traffic requested for the canary phase, above 0 and at most 1; the pacer may use
 *     another, see {@link DeadlinePacer#canaryShare}
 * @param probation how long the new version is monitored with all traffic except a control share
 * @param criteria the thresholds at which the new version counts as bad
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

    /** Throws if an argument is null, equal versions are given, or a time or share is out of range. */
    public RolloutPlan {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(criteria, "criteria");
        if (from.equals(to)) {
            throw new IllegalArgumentException("to: expected a version other than " + from);
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

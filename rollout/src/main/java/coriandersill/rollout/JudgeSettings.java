package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.Objects;
import java.util.Set;

/**
 * The parameters of a judge.
 *
 * @param criteria the thresholds at which the new version counts as bad
 * @param routes the routes of the service; at least one
 * @param falseAlarmRate the maximum probability, over the whole rollout, of rolling back a version that is as good as
 *     the old one; above 0 and below 1
 * @param plannedWindows the maximum number of time windows of the rollout; 1 or more
 */
public record JudgeSettings(
        RegressionCriteria criteria, Set<RouteName> routes, double falseAlarmRate, long plannedWindows) {

    /** Copies the set; throws if an object is null or a value is out of range. */
    public JudgeSettings {
        Objects.requireNonNull(criteria, "criteria");
        routes = Set.copyOf(routes);
        if (routes.isEmpty() || !(falseAlarmRate > 0 && falseAlarmRate < 1) || plannedWindows < 1) {
            throw new IllegalArgumentException(
                    "judge settings: expected routes, a false alarm rate between 0 and 1, and windows; found "
                            + routes.size() + " routes, " + falseAlarmRate + " and " + plannedWindows + " windows");
        }
    }
}

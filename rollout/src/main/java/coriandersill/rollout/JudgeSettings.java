package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.Objects;
import java.util.Set;

/**
 * What a judge is told about its rollout.
 *
 * @param criteria from what on the version is bad
 * @param routes the routes of the service; at least one
 * @param falseAlarmRate the probability, over the whole rollout, of taking back a version that is as good as the old
 *     one; above 0 and below 1
 * @param plannedWindows how many time windows the rollout may last; 1 or more
 */
public record JudgeSettings(
        RegressionCriteria criteria, Set<RouteName> routes, double falseAlarmRate, long plannedWindows) {

    /** Copies the set; refuses null and values out of range. */
    public JudgeSettings {
        Objects.requireNonNull(criteria, "criteria");
        routes = Set.copyOf(routes);
        if (routes.isEmpty() || !(falseAlarmRate > 0 && falseAlarmRate < 1) || plannedWindows < 1) {
            throw new IllegalArgumentException(
                    "judge settings: expected a route, a false alarm rate between 0 and 1 and a window, found "
                            + routes.size() + " routes, " + falseAlarmRate + " and " + plannedWindows + " windows");
        }
    }
}

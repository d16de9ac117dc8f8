package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.WorkspaceName;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a forecast that shows too few refused requests, so that the evacuation overloads the remaining zones,
 * and against one that shows refused requests of a workspace within its share.
 */
class ZoneEvacuationForecastTest {
    private static final AvailabilityZone A = AvailabilityZone.of("a");
    private static final AvailabilityZone B = AvailabilityZone.of("b");
    private static final WorkspaceName SMALL = WorkspaceName.of("small");
    private static final WorkspaceName LARGE = WorkspaceName.of("large");
    private static final WorkspaceName GREEDY = WorkspaceName.of("greedy");

    @Test
    void onlyWorkspacesAboveTheirShareWouldBeRefused() {
        ZoneEvacuationForecast forecast = forecast(60, 40, 10, 50, 80);
        assertThat(forecast.capacity(), closeTo(60, 1e-9));
        assertThat(forecast.refused(), aMapWithSize(2));
        assertThat(forecast.refused().get(LARGE), closeTo(50 - 100.0 / 3, 1e-9));
        assertThat(forecast.refused().get(GREEDY), closeTo(80 - 50.0 / 3, 1e-9));
        assertThat(forecast.load().get(B), closeTo(60, 1e-9));
    }

    @Test
    void anEvacuationThatFitsRefusesNothingAndOneWithoutCapacityRefusesAll() {
        assertThat(forecast(200, 40, 10, 50, 80).fits(), is(true));
        assertThat(forecast(0, 40, 10, 50, 80).refused(), aMapWithSize(3));
    }

    private static ZoneEvacuationForecast forecast(
            double remainingCapacity, double leavingCapacity, double small, double large, double greedy) {
        return ZoneEvacuationForecast.of(
                List.of(
                        new ZoneEvacuationForecast.ZoneCapacity(A, leavingCapacity),
                        new ZoneEvacuationForecast.ZoneCapacity(B, remainingCapacity)),
                List.of(
                        new ZoneEvacuationForecast.WorkspaceDemand(SMALL, 1, small),
                        new ZoneEvacuationForecast.WorkspaceDemand(LARGE, 2, large),
                        new ZoneEvacuationForecast.WorkspaceDemand(GREEDY, 1, greedy)),
                Set.of(A));
    }
}

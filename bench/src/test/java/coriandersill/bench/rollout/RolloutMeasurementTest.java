package coriandersill.bench.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.rollout.DeadlinePacer;
import coriandersill.rollout.FixedStepPacer;
import coriandersill.rollout.SequentialJudge;
import coriandersill.rollout.ThresholdJudge;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that simulated rollouts neither roll back good versions because of noise nor let bad versions harm many
 * requests before the verdict, and that an availability zone leaves without interrupting its requests or slowing down
 * the other zones (cases V1 to V4, V8 and V9 in docs/design/rollouts.md). The bounds are the targets of the project.
 * Rollouts have the seeds 0 to 99.
 */
class RolloutMeasurementTest {
    private static final int ROLLOUTS = 100;
    private static final double MIN_CORRECT_FRACTION = 0.995;
    private static final double MAX_HARMED_REQUESTS_FRACTION = 0.01;
    private static final Map<RolloutScenario, List<RolloutResult>> RESULTS_BY_SCENARIO = new ConcurrentHashMap<>();

    @ParameterizedTest
    @EnumSource
    void nearlyEveryRolloutEndsWithTheCorrectVerdict(RolloutScenario scenario) {
        assertThat(
                "seeds 0 to 99",
                RolloutMeasurement.correctFraction(scenario, run(scenario)),
                greaterThanOrEqualTo(MIN_CORRECT_FRACTION));
    }

    @ParameterizedTest
    @EnumSource(
            names = {"ERRORS_AT_ONCE", "LATENCY_.*"},
            mode = EnumSource.Mode.MATCH_ANY)
    void aVersionWithErrorsAtOnceOrLongerLatenciesHarmsLessThanOnePercentOfTheRequests(RolloutScenario scenario) {
        assertThat("seeds 0 to 99", maxHarmedFraction(scenario), lessThan(MAX_HARMED_REQUESTS_FRACTION));
    }

    @Tag("known-red")
    @ParameterizedTest
    @EnumSource(names = {"ERRORS_LATER", "ERRORS_UNDER_LOAD", "ERRORS_ONE_ROUTE"})
    void noVersionThatIsBadLaterUnderLoadOrOnOneRouteHarmsOnePercentOfTheRequests(RolloutScenario scenario) {
        assertThat("seeds 0 to 99", maxHarmedFraction(scenario), lessThan(MAX_HARMED_REQUESTS_FRACTION));
    }

    @Test
    void theThresholdJudgeWithFixedStepsGivesTooManyWrongVerdicts() {
        List<RolloutResult> results = RolloutMeasurement.run(
                RolloutWorkload.Size.SHORT,
                RolloutScenario.GOOD_NOISY,
                ThresholdJudge.factory(),
                FixedStepPacer.create(),
                ROLLOUTS);
        assertThat(
                RolloutMeasurement.correctFraction(RolloutScenario.GOOD_NOISY, results),
                lessThan(MIN_CORRECT_FRACTION));
    }

    @Test
    void aZoneLeavesAndReturnsWithoutInterruptedRequestsOrSlowTokensElsewhere() {
        ZoneChangeSimulation.Parameters parameters = new ZoneChangeSimulation.Parameters(3, 3, 24, 0.4);
        for (ZoneChangeSimulation.Result result : ZoneChangeMeasurement.run(parameters, 20)) {
            assertThat(result.interrupted() + result.lateStarts() + result.refused(), is(0L));
            assertThat(result.gapRatio(), lessThanOrEqualTo(1.25));
        }
    }

    @Test
    void whenTheRemainingZonesAreFullRequestsAreRefusedAndNoneIsInterrupted() {
        ZoneChangeSimulation.Parameters parameters = new ZoneChangeSimulation.Parameters(3, 3, 24, 0.9);
        for (ZoneChangeSimulation.Result result : ZoneChangeMeasurement.run(parameters, 5)) {
            assertThat(result.interrupted() + result.lateStarts(), is(0L));
            assertThat(result.refused(), greaterThanOrEqualTo(1L));
            assertThat(result.gapRatio(), lessThanOrEqualTo(1.25));
        }
    }

    private static double maxHarmedFraction(RolloutScenario scenario) {
        return run(scenario).stream()
                .mapToDouble(RolloutResult::harmedFraction)
                .max()
                .orElseThrow();
    }

    private static List<RolloutResult> run(RolloutScenario scenario) {
        return RESULTS_BY_SCENARIO.computeIfAbsent(
                scenario,
                ignored -> RolloutMeasurement.run(
                        RolloutWorkload.Size.SHORT,
                        scenario,
                        SequentialJudge.factory(),
                        DeadlinePacer.create(),
                        ROLLOUTS));
    }
}

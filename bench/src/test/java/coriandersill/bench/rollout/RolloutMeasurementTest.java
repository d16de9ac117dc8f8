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

/** Covers requirements V1 to V4, V8 and V9 by simulated rollouts (seeds 0 to 99), with the target values as bounds. */
class RolloutMeasurementTest {
    private static final int ROLLOUTS = 100;
    private static final double MIN_CORRECT_FRACTION = 0.995;
    private static final double MAX_HARMED_FRACTION = 0.01;
    private static final Map<RolloutScenario, List<RolloutResult>> RESULTS = new ConcurrentHashMap<>();

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
    void noBadVersionHarmsAHundredthOfTheCallers(RolloutScenario scenario) {
        assertThat("seeds 0 to 99", worstHarm(scenario), lessThan(MAX_HARMED_FRACTION));
    }

    @Tag("known-red")
    @ParameterizedTest
    @EnumSource(names = {"ERRORS_LATER", "ERRORS_UNDER_LOAD", "ERRORS_ONE_ROUTE"})
    void noVersionThatFailsOnlySometimesHarmsAHundredthOfTheCallers(RolloutScenario scenario) {
        assertThat("seeds 0 to 99", worstHarm(scenario), lessThan(MAX_HARMED_FRACTION));
    }

    @Test
    void thePlainThresholdWithFixedStepsFailsTheSameCheck() {
        List<RolloutResult> results = RolloutMeasurement.run(
                Deployment.Size.SHORT,
                RolloutScenario.GOOD_NOISY,
                ThresholdJudge.factory(),
                FixedStepPacer.create(),
                ROLLOUTS);
        assertThat(
                RolloutMeasurement.correctFraction(RolloutScenario.GOOD_NOISY, results),
                lessThan(MIN_CORRECT_FRACTION));
    }

    @Test
    void aZoneLeavesAndReturnsWithoutACutRequestOrSlowTokensElsewhere() {
        ZoneChangeSimulation.Parameters parameters = new ZoneChangeSimulation.Parameters(3, 3, 24, 0.4);
        for (ZoneChangeSimulation.Result result : ZoneChangeMeasurement.run(parameters, 20)) {
            assertThat(result.cut() + result.lateStarts() + result.refused(), is(0L));
            assertThat(result.gapRatio(), lessThanOrEqualTo(1.25));
        }
    }

    @Test
    void whenAZoneLeavesTooLittleRoomTheExcessIsRefusedAndNothingIsCut() {
        ZoneChangeSimulation.Parameters parameters = new ZoneChangeSimulation.Parameters(3, 3, 24, 0.9);
        for (ZoneChangeSimulation.Result result : ZoneChangeMeasurement.run(parameters, 5)) {
            assertThat(result.cut() + result.lateStarts(), is(0L));
            assertThat(result.refused(), greaterThanOrEqualTo(1L));
            assertThat(result.gapRatio(), lessThanOrEqualTo(1.25));
        }
    }

    private static double worstHarm(RolloutScenario scenario) {
        return run(scenario).stream()
                .mapToDouble(RolloutResult::harmedFraction)
                .max()
                .orElseThrow();
    }

    private static List<RolloutResult> run(RolloutScenario scenario) {
        return RESULTS.computeIfAbsent(
                scenario,
                ignored -> RolloutMeasurement.run(
                        Deployment.Size.SHORT, scenario, SequentialJudge.factory(), DeadlinePacer.create(), ROLLOUTS));
    }
}

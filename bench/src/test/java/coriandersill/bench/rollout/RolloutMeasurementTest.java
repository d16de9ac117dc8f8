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

/** Covers V1 to V4, V8 and V9 as whole moves, with the targets as bounds; seeds 0 to 99. */
class RolloutMeasurementTest {
    private static final int MOVES = 100;
    private static final double RIGHT = 0.995;
    private static final double HARMED = 0.01;
    private static final Map<RolloutScenario, List<RolloutResult>> RESULTS = new ConcurrentHashMap<>();

    @ParameterizedTest
    @EnumSource
    void nearlyEveryMoveEndsAsItsVersionDeserves(RolloutScenario kind) {
        assertThat("seeds 0 to 99", RolloutMeasurement.right(kind, run(kind)), greaterThanOrEqualTo(RIGHT));
    }

    @ParameterizedTest
    @EnumSource(
            names = {"ERRORS_AT_ONCE", "LATENCY_.*"},
            mode = EnumSource.Mode.MATCH_ANY)
    void noBadVersionHarmsAHundredthOfTheCallers(RolloutScenario kind) {
        assertThat("seeds 0 to 99", worstHarm(kind), lessThan(HARMED));
    }

    @Tag("known-red")
    @ParameterizedTest
    @EnumSource(names = {"ERRORS_LATER", "ERRORS_UNDER_LOAD", "ERRORS_ONE_ROUTE"})
    void noVersionThatFailsOnlySometimesHarmsAHundredthOfTheCallers(RolloutScenario kind) {
        assertThat("seeds 0 to 99", worstHarm(kind), lessThan(HARMED));
    }

    @Test
    void thePlainThresholdWithFixedStepsFailsTheSameCheck() {
        List<RolloutResult> results = RolloutMeasurement.run(
                Deployment.Size.SHORT,
                RolloutScenario.GOOD_NOISY,
                ThresholdJudge.factory(),
                FixedStepPacer.create(),
                MOVES);
        assertThat(RolloutMeasurement.right(RolloutScenario.GOOD_NOISY, results), lessThan(RIGHT));
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
    void aZoneThatLeavesTooLittleRoomHasTheExcessRefusedAndCutsNothing() {
        ZoneChangeSimulation.Parameters parameters = new ZoneChangeSimulation.Parameters(3, 3, 24, 0.9);
        for (ZoneChangeSimulation.Result result : ZoneChangeMeasurement.run(parameters, 5)) {
            assertThat(result.cut() + result.lateStarts(), is(0L));
            assertThat(result.refused(), greaterThanOrEqualTo(1L));
            assertThat(result.gapRatio(), lessThanOrEqualTo(1.25));
        }
    }

    private static double worstHarm(RolloutScenario kind) {
        return run(kind).stream().mapToDouble(RolloutResult::harmedPart).max().orElseThrow();
    }

    private static List<RolloutResult> run(RolloutScenario kind) {
        return RESULTS.computeIfAbsent(
                kind,
                ignored -> RolloutMeasurement.run(
                        Deployment.Size.SHORT, kind, SequentialJudge.factory(), DeadlinePacer.create(), MOVES));
    }
}

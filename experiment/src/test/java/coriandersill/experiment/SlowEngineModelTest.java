package coriandersill.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an engine that turns slow without any entry noticing: with as many entries as engines, an entry calls
 * one engine less than once a second, too rarely to judge it by its own calls.
 */
final class SlowEngineModelTest {
    private static final int ENGINES = 34;
    private static final int SEEDS = 20;
    private static final double MAX_MEDIAN_MILLIS = 1_000;
    private static final Duration SLOW_FROM = Duration.ofSeconds(40);

    private static SlowEngineModel.Settings settings(int entries, double slowdown, Duration duration) {
        return new SlowEngineModel.Settings(entries, ENGINES, slowdown, SLOW_FROM, duration);
    }

    /** Guards the median over the seeds: at the moment of the change, some engines run no stream. */
    private static void assertKnownWithinASecond(int entries, double slowdown) {
        List<Double> delays = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            SlowEngineModel.Result result =
                    SlowEngineModel.run(settings(entries, slowdown, SLOW_FROM.plusSeconds(10)), seed);
            delays.add(result.detectedAfterMillis().orElse(Double.POSITIVE_INFINITY));
        }
        delays.sort(null);

        assertThat("median of " + delays, delays.get(SEEDS / 2), lessThanOrEqualTo(MAX_MEDIAN_MILLIS));
    }

    @ParameterizedTest
    @CsvSource({"1,3.5", "4,3.5", "33,3.5", "350,3.5"})
    void anEngineThatTurnsMuchSlowerIsKnownToAllEntriesWithinASecond(int entries, double slowdown) {
        assertKnownWithinASecond(entries, slowdown);
    }

    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"33,1.5", "33,2", "33,8"})
    void anEngineThatTurnsALittleOrVeryMuchSlowerIsKnownToAllEntriesWithinASecond(int entries, double slowdown) {
        assertKnownWithinASecond(entries, slowdown);
    }

    @Test
    void byItsOwnCallsNoEntryOfThirtyThreeFindsTheSlowEngineWithinTheDay() {
        for (int seed = 1; seed <= 3; seed++) {
            SlowEngineModel.Result result = SlowEngineModel.run(settings(33, 3.5, SLOW_FROM.plusSeconds(20)), seed);

            assertThat(result.ownCallsDetectedAfterMillis().isPresent(), is(false));
        }
    }

    @Test
    void inAnHourWithoutASlowEngineNoneIsTakenForOne() {
        SlowEngineModel.Result result = SlowEngineModel.run(settings(33, 1, Duration.ofHours(1)), 1);

        assertThat(result.falseAlarms(), is(0));
    }
}

package coriandersill.eras;

import static coriandersill.eras.EraTracker.Observation.INVALID;
import static coriandersill.eras.EraTracker.Observation.OUTDATED;
import static coriandersill.eras.EraTracker.Observation.RESTORED;
import static coriandersill.eras.EraTracker.Observation.SAME;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a restored log whose offsets are taken for those of before, and against bad statements of an era. */
final class EraTrackerTest {
    private final EraTracker tracker = new EraTracker();

    @Test
    void theFirstEraIsNoRestoration() {
        assertThat(tracker.observe(stated(4), true), is(SAME));
        assertThat(tracker.observe(stated(4), false), is(SAME));
    }

    @Test
    void aLaterEraIsARestorationOnce() {
        tracker.observe(stated(4), true);

        assertThat(tracker.observe(stated(5), false), is(RESTORED));
        assertThat(tracker.observe(stated(5), false), is(SAME));
    }

    @Test
    void aReaderThatMissedARestorationLearnsOfTheNext() {
        tracker.observe(stated(4), true);

        assertThat(tracker.observe(stated(9), false), is(RESTORED));
        assertThat(tracker.current(), is(9L));
    }

    @Test
    void aLogThatBeginsToStateItsEraMayHaveBeenRestored() {
        tracker.observe(EraStatement.NONE, true);

        assertThat(tracker.observe(stated(1), false), is(RESTORED));
    }

    @Test
    void anAnswerOfAnEarlierEraIsLeftOut() {
        tracker.observe(stated(5), true);

        assertThat(tracker.observe(stated(4), false), is(OUTDATED));
        assertThat(tracker.current(), is(5L));
    }

    @Test
    void aLogThatNeverStatesAnEraHasOne() {
        assertThat(tracker.observe(EraStatement.NONE, true), is(SAME));
        assertThat(tracker.observe(EraStatement.NONE, false), is(SAME));
    }

    static List<List<String>> invalidStatements() {
        return List.of(
                List.of("0"),
                List.of("-1"),
                List.of("1e30"),
                List.of("era"),
                List.of(""),
                List.of("7", "7"),
                List.of("7", "8"),
                List.of("99999999999999999999"));
    }

    @ParameterizedTest
    @MethodSource("invalidStatements")
    void nothingIsForgottenForABadStatement(List<String> values) {
        tracker.observe(stated(5), true);

        assertThat(EraStatement.of(values), is(instanceOf(EraStatement.Invalid.class)));
        assertThat(tracker.observe(EraStatement.of(values), false), is(INVALID));
        assertThat(tracker.current(), is(5L));
    }

    @Test
    void anAnswerWithoutAnEraAfterOthersHadOneIsInvalid() {
        tracker.observe(stated(5), true);

        assertThat(tracker.observe(EraStatement.NONE, false), is(INVALID));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1", " 12 ", "999999999999999"})
    void wholeNumbersAreEras(String value) {
        assertThat(EraStatement.of(List.of(value)), is(stated(Long.parseLong(value.trim()))));
    }

    @Test
    void positionsOfOneEraCompareByOffsetAndThoseOfOthersByEra() {
        assertThat(new LogPosition(1, 5).isBefore(new LogPosition(1, 6)), is(true));
        assertThat(new LogPosition(1, 5).isBefore(new LogPosition(1, 5)), is(false));
        assertThat(new LogPosition(1, 900).isBefore(new LogPosition(2, 0)), is(true));
        assertThat(new LogPosition(2, 0).isBefore(new LogPosition(1, 900)), is(false));
    }

    private static EraStatement stated(long era) {
        return new EraStatement.Stated(era);
    }
}

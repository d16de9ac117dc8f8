package coriandersill.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against generations that are lost with a leaving engine because copies of what was added go on until it is
 * gone: several generations of a full engine share its link, and every copy waits for those of the others.
 */
final class MovePacingTest {
    private static final Duration FULL_COPY = Duration.ofMillis(200);

    private static MovePacing pacing(long limitMillis) {
        return new MovePacing(Duration.ofMillis(limitMillis), FULL_COPY);
    }

    @ParameterizedTest
    @CsvSource({"100,true", "300,true", "400,false", "1500,false"})
    void aGenerationThatHasTimeForOneCopyOnlyIsStoppedBeforeIt(long limitMillis, boolean expected) {
        assertThat(pacing(limitMillis).isOneCopyAllThatFits(), is(expected));
    }

    @Test
    void onAFreeLinkAGenerationIsStoppedWhenLittleRemains() {
        assertThat(pacing(1_500).isLastCopyDue(Duration.ofMillis(200), Duration.ofMillis(200)), is(false));
        assertThat(pacing(1_500).isLastCopyDue(Duration.ofMillis(220), Duration.ofMillis(20)), is(true));
    }

    /** The link is shared: every copy takes 280 ms, whatever remains. */
    @ParameterizedTest
    @CsvSource({"900", "1050", "1282", "1500", "2100"})
    void onASharedLinkTheLastCopyEndsBeforeTheEngineShutsDown(long limitMillis) {
        Duration copy = Duration.ofMillis(280);
        Duration elapsed = Duration.ZERO;
        boolean last = false;
        while (!last) {
            elapsed = elapsed.plus(copy);
            last = pacing(limitMillis).isLastCopyDue(elapsed, copy);
        }

        Duration end = elapsed.plus(copy);
        assertThat("end of the last copy: " + end, end.toMillis() <= limitMillis, is(true));
    }

    @Test
    void aGenerationIsStoppedInAnyCaseWhenTheTimeIsNearlyOver() {
        assertThat(pacing(1_000).isStopDue(Duration.ofMillis(700)), is(false));
        assertThat(pacing(1_000).isStopDue(Duration.ofMillis(800)), is(true));
    }
}

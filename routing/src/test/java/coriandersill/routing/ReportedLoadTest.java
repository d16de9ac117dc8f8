package coriandersill.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against generations that are sent to an engine where others wait for memory, and against moves to an engine
 * whose memory is taken by copies: many entries before many engines, each of which has few generations of its own
 * anywhere.
 */
final class ReportedLoadTest {
    private static final List<ReportedLoad.Generation> RUNNING =
            List.of(new ReportedLoad.Generation("own", 3_000), new ReportedLoad.Generation("other", 5_000));

    @Test
    void runningGenerationsOfOtherEntriesCountWithTheirMemory() {
        OtherEntriesLoad load = new ReportedLoad(RUNNING, 0, 0).withoutOwn(Set.of("own"));

        assertThat(load, is(new OtherEntriesLoad(1, 5_000, 0)));
    }

    @Test
    void generationsThatWaitCountWithTheMemoryThatTheyWillNeedAndWithTheirPrompts() {
        OtherEntriesLoad load = new ReportedLoad(RUNNING, 2, 0).withoutOwn(Set.of("own"));

        assertThat(load, is(new OtherEntriesLoad(3, 13_000, 8_000)));
    }

    @Test
    void anOwnGenerationThatDoesNotRunYetIsOneOfThoseThatWait() {
        OtherEntriesLoad load = new ReportedLoad(RUNNING, 2, 0).withoutOwn(Set.of("own", "own-waiting"));

        assertThat(load, is(new OtherEntriesLoad(2, 9_000, 4_000)));
    }

    @Test
    void memoryTakenByCopiesIsNotFree() {
        OtherEntriesLoad load = new ReportedLoad(RUNNING, 0, 20_000).withoutOwn(Set.of("own"));

        assertThat(load, is(new OtherEntriesLoad(1, 17_000, 0)));
    }

    @Test
    void anIdleEngineHasNoLoad() {
        assertThat(new ReportedLoad(List.of(), 0, 0).withoutOwn(Set.of()), is(OtherEntriesLoad.NONE));
        assertThat(new ReportedLoad(List.of(), 0, 0).withoutOwn(Set.of("own")), is(OtherEntriesLoad.NONE));
    }
}

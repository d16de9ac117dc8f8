package coriandersill.explorer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that each idempotency key runs at most once, and that no call reported to its caller as not run has run, when
 * processes pause or restart, messages are lost and the log has outages (cases O1 to O8 in docs/design/idempotency.md).
 * Otherwise a caller that repeats its call would have it executed twice.
 */
final class ClaimExplorerTest {
    private static final int SCHEDULES = 10_000;

    @Test
    void aKeyRunsAtMostOnceAndNoCallReportedAsNotRunHasRunUnderEverySchedule() {
        ClaimScenario scenario = new ClaimScenario(ClaimScenario.InjectedBug.NONE);
        Explorer.of(scenario).explore(1, SCHEDULES);
        System.out.println(SCHEDULES + " schedules: " + scenario.totalKeysRun() + " of " + 2 * SCHEDULES + " keys ran, "
                + scenario.totalReplays() + " replays");
        assertThat("most keys run", scenario.totalKeysRun(), greaterThan(SCHEDULES));
        assertThat("outcomes are replayed", scenario.totalReplays(), greaterThan(SCHEDULES / 10));
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachInjectedBugIsDetected(ClaimScenario.InjectedBug injectedBug) {
        OptionalLong seed = Explorer.of(new ClaimScenario(injectedBug)).firstFailure(1, SCHEDULES);
        System.out.println(injectedBug + " fails first at seed " + seed);
        assertThat(injectedBug.toString(), seed.isPresent(), is(true));
    }
}

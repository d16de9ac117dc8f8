package coriandersill.explorer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that a lease has at most one holder at a time, and that no order takes effect after one with a higher fencing
 * token (case V5 in docs/design/leases.md). An entry that was paused or cut off while another took over could otherwise
 * give outdated orders.
 */
final class LeaseExplorerTest {
    private static final int SCHEDULES = 3_000;

    @Test
    void ordersTakeEffectInTheOrderOfTheirTokensUnderEverySchedule() {
        LeaseScenario scenario = new LeaseScenario(LeaseScenario.InjectedBug.NONE);
        Explorer.of(scenario).explore(1, SCHEDULES);
        System.out.println(SCHEDULES + " schedules: " + scenario.totalOrders() + " orders took effect under "
                + scenario.totalTokens() + " tokens");
        assertThat("holders change", scenario.totalTokens(), greaterThan(SCHEDULES));
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachInjectedBugIsDetected(LeaseScenario.InjectedBug injectedBug) {
        OptionalLong seed = Explorer.of(new LeaseScenario(injectedBug)).firstFailure(1, SCHEDULES);
        System.out.println(injectedBug + " fails first at seed " + seed);
        assertThat(injectedBug.toString(), seed.isPresent(), is(true));
    }
}

package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against processes that keep different verdicts when these arrive in another order or more than once. */
class StoppedRolloutsTest {
    private static final ServiceName SERVICE = ServiceName.of("scribe");

    @Test
    void verdictsConvergeForAnyOrderAndAnyNumberOfDeliveries() {
        long seed = 77;
        Random random = new Random(seed);
        List<RolloutVerdict> verdicts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            verdicts.add(verdict(random.nextInt(3), "entry-" + i, random.nextInt(4)));
        }
        List<RolloutVerdict> expected = null;
        for (int run = 0; run < 50; run++) {
            Collections.shuffle(verdicts, random);
            StoppedRollouts stoppedRollouts = StoppedRollouts.create();
            verdicts.forEach(stoppedRollouts::accept);
            verdicts.subList(0, 6).forEach(stoppedRollouts::accept);
            expected = expected == null ? stoppedRollouts.verdicts() : expected;
            assertThat("seed " + seed, stoppedRollouts.verdicts(), equalTo(expected));
        }
    }

    @Test
    void aVerdictOnTheSameOrAnEarlierRolloutIsNotReportedAsNew() {
        StoppedRollouts stoppedRollouts = StoppedRollouts.create();
        assertThat(stoppedRollouts.accept(verdict(3, "entry-1", 50)), is(true));
        assertThat(stoppedRollouts.accept(verdict(3, "entry-2", 40)), is(false));
        assertThat(stoppedRollouts.accept(verdict(2, "entry-3", 1)), is(false));
        assertThat(
                stoppedRollouts
                        .verdictFor(new RolloutId(SERVICE, 3))
                        .orElseThrow()
                        .source(),
                is(InstanceId.of("entry-2")));
        assertThat(stoppedRollouts.verdictFor(new RolloutId(SERVICE, 4)).isPresent(), is(false));
    }

    private static RolloutVerdict verdict(long declarationPosition, String source, long foundAtMillis) {
        return new RolloutVerdict(
                new RolloutId(SERVICE, declarationPosition), InstanceId.of(source), foundAtMillis, "errors");
    }
}

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

/** Covers requirement V6: a rollback needs no log, and all processes converge on the same verdicts. */
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
            StoppedRollouts stops = StoppedRollouts.create();
            verdicts.forEach(stops::accept);
            verdicts.subList(0, 6).forEach(stops::accept);
            expected = expected == null ? stops.verdicts() : expected;
            assertThat("seed " + seed, stops.verdicts(), equalTo(expected));
        }
    }

    @Test
    void aVerdictOnTheSameOrAnEarlierRolloutIsNoNewStop() {
        StoppedRollouts stops = StoppedRollouts.create();
        assertThat(stops.accept(verdict(3, "entry-1", 50)), is(true));
        assertThat(stops.accept(verdict(3, "entry-2", 40)), is(false));
        assertThat(stops.accept(verdict(2, "entry-3", 1)), is(false));
        assertThat(stops.verdictFor(new RolloutId(SERVICE, 3)).orElseThrow().source(), is(InstanceId.of("entry-2")));
        assertThat(stops.verdictFor(new RolloutId(SERVICE, 4)).isPresent(), is(false));
    }

    private static RolloutVerdict verdict(long declarationOffset, String source, long millis) {
        return new RolloutVerdict(new RolloutId(SERVICE, declarationOffset), InstanceId.of(source), millis, "errors");
    }
}

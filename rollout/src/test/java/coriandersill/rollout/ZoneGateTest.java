package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against work in a zone that is out of service, and against full load on a zone that has just returned. */
class ZoneGateTest {
    private static final AvailabilityZone ZONE = AvailabilityZone.of("shewa-a");
    private static final Duration RAMP = Duration.ofSeconds(100);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ZoneGate gate = ZoneGate.of(clock, RAMP);

    @Test
    void aZoneTakenOutAdmitsNothing() {
        gate.takeOut(ZONE);
        assertThat(countAdmitted(1000), is(0L));
        clock.advance(Duration.ofDays(1));
        assertThat(countAdmitted(1000), is(0L));
    }

    @Test
    void aZoneBroughtBackInTakesItsWorkGradually() {
        gate.takeOut(ZONE);
        gate.bringIn(ZONE);
        assertThat(gate.share(ZONE), closeTo(0.05, 1e-9));
        clock.advance(RAMP.dividedBy(2));
        assertThat(gate.share(ZONE), closeTo(0.525, 1e-9));
        assertThat((double) countAdmitted(10_000), closeTo(5250, 200));
        clock.advance(RAMP);
        assertThat(gate.isBelowFullShare(ZONE), is(false));
    }

    @Test
    void aZoneTakenOutDuringItsRampAdmitsNothingAndItsNextRampStartsOver() {
        gate.takeOut(ZONE);
        gate.bringIn(ZONE);
        clock.advance(RAMP.dividedBy(2));
        assertThat(gate.takeOut(ZONE), is(true));
        assertThat(countAdmitted(1000), is(0L));
        assertThat(gate.bringIn(ZONE), is(true));
        assertThat(gate.share(ZONE), lessThan(0.06));
    }

    @Test
    void bringingAZoneInAgainNeitherRestartsNorSkipsItsRamp() {
        gate.takeOut(ZONE);
        gate.bringIn(ZONE);
        clock.advance(RAMP.dividedBy(2));
        assertThat(gate.bringIn(ZONE), is(false));
        assertThat(gate.share(ZONE), closeTo(0.525, 1e-9));
    }

    private long countAdmitted(int requests) {
        return LongStream.range(0, requests)
                .filter(request -> gate.admits(ZONE, TrafficSplit.hashOf("request-" + request)))
                .count();
    }
}

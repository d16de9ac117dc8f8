package coriandersill.upstreams;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class UpstreamTableTest {
    private static final ServiceName SCRIBE = ServiceName.of("scribe");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("a");

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final UpstreamTable table = UpstreamTable.create(clock, Duration.ofSeconds(2));
    private final List<String> heard = new ArrayList<>();

    UpstreamTableTest() {
        table.addListener(new UpstreamListener() {
            @Override
            public void joined(Upstream upstream) {
                heard.add("joined " + upstream.instance());
            }

            @Override
            public void leaving(Upstream upstream, Duration timeLeft) {
                heard.add("leaving " + upstream.instance());
            }

            @Override
            public void removed(Upstream upstream) {
                heard.add("gone " + upstream.instance());
            }
        });
    }

    @Test
    void anUpstreamThatSaysItLeavesTakesNoNewWorkAndIsToldOfOnce() {
        table.addOrUpdate(upstream("i", 1, false), Duration.ZERO);
        table.addOrUpdate(upstream("i", 1, true), Duration.ZERO);
        table.addOrUpdate(upstream("i", 1, true), Duration.ZERO);

        assertThat(table.inService(SCRIBE), is(empty()));
        assertThat(heard, contains("joined i", "leaving i"));
    }

    @Test
    void aListingThatEndsWithoutDoubtEndsTheServiceAtOnce() {
        table.addOrUpdate(upstream("i", 1, false), Duration.ZERO);
        table.markUnlisted(InstanceId.of("i"), Duration.ZERO);

        assertThat(table.inService(SCRIBE), is(empty()));
        clock.advance(Duration.ofSeconds(3));
        table.sweep();
        assertThat(heard, contains("joined i", "leaving i", "gone i"));
    }

    @Test
    void aListingThatEndsInDoubtHoldsUntilItComesBackOrItsTimeIsOver() {
        table.addOrUpdate(upstream("back", 1, false), Duration.ZERO);
        table.addOrUpdate(upstream("lost", 1, false), Duration.ZERO);
        table.markUnlisted(InstanceId.of("back"), Duration.ofSeconds(2));
        table.markUnlisted(InstanceId.of("lost"), Duration.ofSeconds(2));
        assertThat(table.inService(SCRIBE).size(), is(2));

        clock.advance(Duration.ofSeconds(1));
        table.addOrUpdate(upstream("back", 1, false), Duration.ZERO);
        clock.advance(Duration.ofMillis(1_100));
        table.sweep();

        assertThat(table.inService(SCRIBE).get(0).instance(), is(InstanceId.of("back")));
        assertThat(heard, contains("joined back", "joined lost", "leaving lost"));
    }

    @Test
    void aNewIncarnationUnderTheSameNameStartsAnew() {
        table.addOrUpdate(upstream("i", 1, true), Duration.ZERO);
        table.addOrUpdate(upstream("i", 2, false), Duration.ZERO);

        assertThat(table.inService(SCRIBE).size(), is(1));
        assertThat(heard, contains("leaving i", "joined i"));
    }

    @Test
    void anUpstreamThatCouldNotBeReachedIsAvoidedForAWhileUnlessItIsTheOnlyOne() {
        table.addOrUpdate(upstream("i", 1, false), Duration.ZERO);
        table.addOrUpdate(upstream("j", 1, false), Duration.ZERO);
        table.markUnreachable(InstanceId.of("i"));
        assertThat(table.inService(SCRIBE).get(0).instance(), is(InstanceId.of("j")));

        clock.advance(Duration.ofMillis(301));
        assertThat(table.inService(SCRIBE).size(), is(2));

        table.markUnreachable(InstanceId.of("i"));
        table.markUnreachable(InstanceId.of("j"));
        assertThat(table.inService(SCRIBE).size(), is(2));
    }

    @Test
    void aZoneThatIsOutTakesNoNewWorkUntilItIsBack() {
        table.addOrUpdate(upstream("i", 1, false), Duration.ZERO);
        table.setZonesOutOfService(Set.of(ZONE));
        assertThat(table.inService(InstanceId.of("i")).isPresent(), is(false));

        table.setZonesOutOfService(Set.of());
        assertThat(table.inService(InstanceId.of("i")).isPresent(), is(true));
    }

    @Test
    void anUpstreamIsColdForAsLongAsItSays() {
        table.addOrUpdate(upstream("i", 1, false), Duration.ofMillis(500));
        assertThat(table.isCold(InstanceId.of("i")), is(true));

        clock.advance(Duration.ofMillis(501));
        assertThat(table.isCold(InstanceId.of("i")), is(false));
    }

    @Test
    void callsToAColdUpstreamStayWithinThisEntrysPartInEverySecond() {
        ColdCallLimiter share = ColdCallLimiter.create(clock);
        InstanceId instance = InstanceId.of("i");
        int allowed = 0;
        for (int i = 0; i < 20; i++) {
            allowed += share.tryAcquire(instance, 20.0 / 4) ? 1 : 0;
        }
        assertThat(allowed, is(5));

        clock.advance(Duration.ofMillis(999));
        assertThat(share.tryAcquire(instance, 20.0 / 4), is(false));
        clock.advance(Duration.ofMillis(1));
        assertThat(share.tryAcquire(instance, 20.0 / 4), is(true));
    }

    private static Upstream upstream(String id, long born, boolean leaving) {
        return new Upstream(InstanceId.of(id), born, SCRIBE, "127.0.0.1", 80, ZONE, VersionName.of("v1"), 8, leaving);
    }
}

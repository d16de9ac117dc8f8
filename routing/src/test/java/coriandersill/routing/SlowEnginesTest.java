package coriandersill.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against prompts that are sent to an engine that has turned slow, and against engines that are avoided for good
 * or all at once.
 */
final class SlowEnginesTest {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final InstanceId SLOW = InstanceId.of("slow");
    private static final InstanceId OTHER = InstanceId.of("other");
    private static final InstanceId THIRD = InstanceId.of("third");
    private static final long USUAL_NANOS = Duration.ofMillis(30).toNanos();
    private static final long SLOW_NANOS = Duration.ofMillis(105).toNanos();

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final List<SlowEngineReport> published = new ArrayList<>();
    private final List<InstanceId> ended = new ArrayList<>();
    private final SlowEngines engines = SlowEngines.create(InstanceId.of("entry"), clock, new SlowEngineExchange() {
        @Override
        public void publish(SlowEngineReport report) {
            published.add(report);
        }

        @Override
        public void publishEnd(InstanceId engine) {
            ended.add(engine);
        }
    });

    @BeforeEach
    void recordTheUsualPace() {
        for (int i = 0; i < 40; i++) {
            engines.recordPace(SERVICE, OTHER, USUAL_NANOS);
        }
    }

    private void recordSlowPaces(int count) {
        for (int i = 0; i < count; i++) {
            engines.recordPace(SERVICE, SLOW, SLOW_NANOS);
            clock.advance(Duration.ofMillis(210));
        }
    }

    @Test
    void twoSlowPacesAreReportedOnce() {
        recordSlowPaces(1);
        assertThat(published, is(empty()));

        recordSlowPaces(4);
        assertThat(published, hasSize(1));
        assertThat(engines.isSlow(SLOW), is(true));
        assertThat(engines.count(), is(1));
    }

    @Test
    void aSlowEngineIsReportedAgainWhileItIsSlowAndAvoidedNoLongerThanThat() {
        recordSlowPaces(14);
        assertThat(published, hasSize(2));

        clock.advance(Duration.ofSeconds(5));
        assertThat(engines.isSlow(SLOW), is(false));
    }

    @Test
    void theUsualPaceEndsAReportAlsoOfAnotherEntry() {
        engines.apply(new SlowEngineReport(SLOW, OTHER, 3.5, Duration.ofSeconds(4)));
        assertThat(engines.isSlow(SLOW), is(true));

        engines.recordPace(SERVICE, SLOW, USUAL_NANOS);
        assertThat(engines.isSlow(SLOW), is(false));
        assertThat(ended, contains(SLOW));
    }

    @Test
    void aReportThatClaimsToBeValidForHoursIsNot() {
        engines.apply(new SlowEngineReport(SLOW, OTHER, 3.5, Duration.ofHours(9)));
        clock.advance(Duration.ofSeconds(5));

        assertThat(engines.isSlow(SLOW), is(false));
    }

    @Test
    void slowEnginesAreAvoidedUnlessMostAreSlow() {
        List<InstanceId> all = List.of(SLOW, OTHER, THIRD);
        engines.apply(new SlowEngineReport(SLOW, OTHER, 3.5, Duration.ofSeconds(4)));
        assertThat(engines.withoutSlow(all, Function.identity()), contains(OTHER, THIRD));

        engines.apply(new SlowEngineReport(OTHER, THIRD, 3.5, Duration.ofSeconds(4)));
        assertThat(engines.withoutSlow(all, Function.identity()), is(all));
    }

    @Test
    void anEngineThatPrefillsOnePromptAfterAnotherIsNotSlow() {
        for (int i = 0; i < 40; i++) {
            engines.recordPace(SERVICE, SLOW, Duration.ofMillis(63).toNanos());
        }

        assertThat(published, is(empty()));
    }

    @Test
    void aLostPacketDoesNotMakeAPaceSlow() {
        PaceWindow window = PaceWindow.create();
        long now = 0;
        OptionalLong pace = OptionalLong.empty();
        long[] intervalsMillis = {30, 30, 400, 30, 30};
        for (long interval : intervalsMillis) {
            pace = window.record(now);
            now += Duration.ofMillis(interval).toNanos();
        }

        assertThat(pace, is(OptionalLong.of(Duration.ofMillis(30).toNanos())));
    }
}

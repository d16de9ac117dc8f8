package coriandersill.routing;

import static coriandersill.routing.Fixtures.instance;
import static coriandersill.routing.Fixtures.request;
import static coriandersill.routing.Fixtures.sidecars;
import static coriandersill.routing.Fixtures.zone;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against routing on delayed load reports alone, against a zone that overloads its cold upstreams when it
 * returns to service, and against counting the end of a call twice.
 */
final class RouterTest {
    private static final long SEED = 17;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final Router router = Router.builder(clock, new SplittableRandom(SEED))
            .policy(LeastPredictedLoad.startingAt(0))
            .zoneRamp(Duration.ofSeconds(30), 0.05)
            .reportLifetime(Duration.ofSeconds(5))
            .build();

    private InstanceId select(List<CandidateInfo> infos) {
        return router.select(request("chat", 0), infos).orElseThrow().instance();
    }

    private List<InstanceId> selectAndFinish(int calls, List<CandidateInfo> infos) {
        List<InstanceId> chosen = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            chosen.add(select(infos));
            router.recordFinished(chosen.get(i), request("chat", 0), CallResult.ok(1, 1, 1));
        }
        return chosen;
    }

    @Test
    void ownCallsCountImmediatelyRegardlessOfTheLastReport() {
        for (int i = 0; i < 4; i++) {
            router.recordReport(instance(i), new LoadReport(0, 0, 40, false, 0, 32_000));
        }
        for (int i = 0; i < 40; i++) {
            select(sidecars(4));
        }
        for (int i = 0; i < 4; i++) {
            assertThat(router.inFlight(instance(i)), is(10));
        }
    }

    @Test
    void aReportAddsTheCallsOfOtherEntriesOnceAndLosesWeightWithAge() {
        List<CandidateInfo> two = sidecars(2);
        InstanceId own = select(two);
        router.recordReport(own, new LoadReport(5, 0, 40, false, 0, 32_000));
        InstanceId other = own.equals(instance(0)) ? instance(1) : instance(0);
        for (int i = 0; i < 5; i++) {
            assertThat(select(two), is(other));
        }
        clock.advance(Duration.ofSeconds(5));
        assertThat(select(two), is(own));
    }

    @Test
    void theEndOfACallIsIgnoredIfItIsRepeatedOrItsInstanceHasLeft() {
        InstanceId chosen = select(sidecars(1));
        router.recordFinished(chosen, request("chat", 0), CallResult.ok(1, 1, 1));
        router.recordFinished(chosen, request("chat", 0), CallResult.ok(1, 1, 1));
        assertThat(router.inFlight(chosen), is(0));
        select(sidecars(1));
        router.removeInstance(chosen);
        router.recordFinished(chosen, request("chat", 0), CallResult.ok(1, 1, 1));
        assertThat(router.inFlight(chosen), is(0));
    }

    @Test
    void aZoneOutOfServiceGetsNoCallsEvenIfNoOtherZoneIsLeft() {
        router.setZoneInService(zone(0), false);
        assertThat(selectAndFinish(300, sidecars(6)), everyItem(not(is(instance(0)))));
        assertThat(router.select(request("chat", 0), sidecars(1)), is(Optional.empty()));
    }

    @Test
    void aReturningZonesShareGrowsLinearlyAndNoOtherUpstreamIsOverloaded() {
        router.setZoneInService(zone(0), false);
        router.setZoneInService(zone(0), true);
        for (int second = 0; second <= 30; second += 5) {
            List<InstanceId> chosen = selectAndFinish(6_000, sidecars(6));
            long inReturningZone = chosen.stream()
                    .filter(id -> id.equals(instance(0)) || id.equals(instance(3)))
                    .count();
            double expected = 2_000 * (0.05 + 0.95 * second / 30);
            assertThat("seed " + SEED + ", second " + second, (double) inReturningZone, closeTo(expected, 150));
            long atOtherUpstream = chosen.stream().filter(instance(1)::equals).count();
            assertThat("seed " + SEED, (double) atOtherUpstream, lessThanOrEqualTo(6_000 / 4.0 + 150));
            clock.advance(Duration.ofSeconds(5));
        }
    }

    @Test
    void aZoneInServiceFromTheStartGetsItsFullShare() {
        router.setZoneInService(zone(0), true);
        assertThat(select(sidecars(1)), is(instance(0)));
    }
}

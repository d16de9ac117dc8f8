package coriandersill.routing;

import static coriandersill.routing.Fixtures.instance;
import static coriandersill.routing.Fixtures.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;

/** Guards against calls to an upstream that fails half its calls, or is slow, on one route only. */
final class RouteOutlierDetectorTest {
    private static final long SEED = 23;
    private static final CallResult SUCCESS = CallResult.ok(100_000_000, 30_000_000, 50);
    private static final CallResult SLOW = CallResult.ok(100_000_000, 130_000_000, 50);
    private static final CallResult FAILURE = CallResult.failed(ErrorKind.UPSTREAM_ERROR);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final RouteOutlierDetector detector = RouteOutlierDetector.of(OutlierSettings.standard());

    /** Records a call on the route for each of six upstreams every 100 ms. */
    private void recordCalls(String route, int seconds, IntFunction<CallResult> result) {
        for (int step = 0; step < seconds * 10; step++) {
            for (int i = 0; i < 6; i++) {
                detector.record(instance(i), request(route, 0), result.apply(i), clock.nanos());
            }
            clock.advance(Duration.ofMillis(100));
        }
    }

    private Map<InstanceId, Double> shares(String route) {
        return detector.reducedShares(request(route, 0), clock.nanos());
    }

    private CallResult failHalf() {
        return random.nextBoolean() ? FAILURE : SUCCESS;
    }

    @Test
    void anUpstreamThatFailsHalfItsCallsIsEjectedFromThatRouteOnly() {
        recordCalls("tag", 4, i -> SUCCESS);
        recordCalls("chat", 4, i -> i == 2 ? failHalf() : SUCCESS);
        assertThat("seed " + SEED, shares("chat"), is(Map.of(instance(2), 0.0)));
        assertThat(shares("tag"), is(Map.of()));
    }

    @Test
    void anUpstreamThatIsSlowBetweenTokensOnOneRouteIsEjectedThere() {
        recordCalls("chat", 3, i -> i == 4 ? SLOW : SUCCESS);
        assertThat(shares("chat"), is(Map.of(instance(4), 0.0)));
    }

    @Test
    void problemsCommonToAllUpstreamsEjectNone() {
        recordCalls("chat", 30, i -> failHalf());
        assertThat(
                "seed " + SEED,
                shares("chat").values().stream().filter(share -> share == 0).count(),
                is(0L));
        recordCalls("tag", 10, i -> SLOW);
        assertThat(shares("tag"), is(Map.of()));
    }

    @Test
    void neverMoreThanTheMaximumFractionIsEjectedTogether() {
        for (int failing = 3; failing <= 4; failing++) {
            int failingCount = failing;
            for (int second = 0; second < 60; second++) {
                recordCalls("route-" + failing, 1, i -> i < failingCount ? FAILURE : SUCCESS);
                long ejected = shares("route-" + failing).values().stream()
                        .filter(share -> share == 0)
                        .count();
                assertThat(ejected, lessThanOrEqualTo(2L));
            }
        }
    }

    @Test
    void aSingleUpstreamIsNeverEjected() {
        for (int i = 0; i < 100; i++) {
            detector.record(instance(0), request("chat", 0), FAILURE, clock.nanos());
        }
        assertThat(shares("chat"), is(Map.of()));
    }

    @Test
    void anEjectedUpstreamRegainsItsShareGraduallyAndASecondEjectionLastsLonger() {
        recordCalls("chat", 2, i -> i == 2 ? FAILURE : SUCCESS);
        clock.advance(Duration.ofMillis(4_500));
        double initialShare = shares("chat").get(instance(2));
        assertThat(initialShare, greaterThan(0.0));
        assertThat(initialShare, lessThan(0.2));
        clock.advance(Duration.ofSeconds(10));
        assertThat(shares("chat").get(instance(2)), greaterThan(initialShare));
        recordCalls("chat", 2, i -> i == 2 ? FAILURE : SUCCESS);
        clock.advance(Duration.ofSeconds(6));
        assertThat(shares("chat").get(instance(2)), is(0.0));
        clock.advance(Duration.ofSeconds(30));
        assertThat(shares("chat"), is(Map.of()));
    }

    @Test
    void refusedAndCancelledCallsDoNotAffectHealth() {
        recordCalls("chat", 5, i -> i == 1 ? CallResult.failed(ErrorKind.OVERLOADED) : SUCCESS);
        recordCalls("chat", 5, i -> i == 1 ? CallResult.failed(ErrorKind.CANCELLED) : SUCCESS);
        assertThat(shares("chat"), is(Map.of()));
    }
}

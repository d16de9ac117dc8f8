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

/** R8: an upstream that fails half its calls, or is slow on one route. */
final class RouteOutlierDetectorTest {
    private static final long SEED = 23;
    private static final CallResult GOOD = CallResult.ok(100_000_000, 30_000_000, 50);
    private static final CallResult SLOW = CallResult.ok(100_000_000, 130_000_000, 50);
    private static final CallResult BAD = CallResult.failed(ErrorKind.UPSTREAM_ERROR);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final RouteOutlierDetector detector = RouteOutlierDetector.of(OutlierSettings.standard());

    /** Gives each of six upstreams a call on the route every 100 ms. */
    private void run(String route, int seconds, IntFunction<CallResult> result) {
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

    private CallResult halfBad() {
        return random.nextBoolean() ? BAD : GOOD;
    }

    @Test
    void anUpstreamThatFailsHalfItsCallsIsEjectedFromThatRouteOnly() {
        run("tag", 4, i -> GOOD);
        run("chat", 4, i -> i == 2 ? halfBad() : GOOD);
        assertThat("seed " + SEED, shares("chat"), is(Map.of(instance(2), 0.0)));
        assertThat(shares("tag"), is(Map.of()));
    }

    @Test
    void anUpstreamThatIsSlowBetweenTokensOnOneRouteIsEjectedThere() {
        run("chat", 3, i -> i == 4 ? SLOW : GOOD);
        assertThat(shares("chat"), is(Map.of(instance(4), 0.0)));
    }

    @Test
    void whatAllUpstreamsShowAlikeEjectsNone() {
        run("chat", 30, i -> halfBad());
        assertThat(
                "seed " + SEED,
                shares("chat").values().stream().filter(share -> share == 0).count(),
                is(0L));
        run("tag", 10, i -> SLOW);
        assertThat(shares("tag"), is(Map.of()));
    }

    @Test
    void neverMoreThanTheStatedPartIsEjectedTogether() {
        for (int bad = 3; bad <= 4; bad++) {
            int first = bad;
            for (int second = 0; second < 60; second++) {
                run("route-" + bad, 1, i -> i < first ? BAD : GOOD);
                long ejected = shares("route-" + bad).values().stream()
                        .filter(share -> share == 0)
                        .count();
                assertThat(ejected, lessThanOrEqualTo(2L));
            }
        }
    }

    @Test
    void aSingleUpstreamIsNeverEjected() {
        for (int i = 0; i < 100; i++) {
            detector.record(instance(0), request("chat", 0), BAD, clock.nanos());
        }
        assertThat(shares("chat"), is(Map.of()));
    }

    @Test
    void anEjectedUpstreamReturnsGentlyAndARelapseLastsLonger() {
        run("chat", 2, i -> i == 2 ? BAD : GOOD);
        clock.advance(Duration.ofMillis(4_500));
        double first = shares("chat").get(instance(2));
        assertThat(first, greaterThan(0.0));
        assertThat(first, lessThan(0.2));
        clock.advance(Duration.ofSeconds(10));
        assertThat(shares("chat").get(instance(2)), greaterThan(first));
        run("chat", 2, i -> i == 2 ? BAD : GOOD);
        clock.advance(Duration.ofSeconds(6));
        assertThat(shares("chat").get(instance(2)), is(0.0));
        clock.advance(Duration.ofSeconds(30));
        assertThat(shares("chat"), is(Map.of()));
    }

    @Test
    void refusalsAndCancelledCallsSayNothingOfHealth() {
        run("chat", 5, i -> i == 1 ? CallResult.failed(ErrorKind.OVERLOADED) : GOOD);
        run("chat", 5, i -> i == 1 ? CallResult.failed(ErrorKind.CANCELLED) : GOOD);
        assertThat(shares("chat"), is(Map.of()));
    }
}

package coriandersill.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import coriandersill.platform.PlatformFixtures;
import io.vertx.core.Vertx;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a check of the soak test that detects nothing, so that a run with violations would pass. The call
 * identifiers c7 and c12 are not among those that an {@link Upstream} refuses or answers wrongly.
 */
final class ResultCheckerTest {
    private static final long OVER_MAX_REACTION_NANOS = Duration.ofSeconds(10).toNanos();

    private final Vertx vertx = Vertx.vertx();
    private Upstream upstream;

    @BeforeEach
    void start() throws Exception {
        upstream = Upstream.start(vertx, "u1", Upstream.PLAIN_SERVICE);
    }

    @AfterEach
    void stop() throws Exception {
        upstream.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    /** Sends a call to the upstream with its API key, as an entry that forwards everything would. */
    private void runAtUpstream(String id) throws Exception {
        HttpClient.newHttpClient()
                .send(
                        PlatformFixtures.callRequest(
                                upstream.server().port(), "/books/1", id, "key-1", Duration.ofSeconds(2), "prompt"),
                        HttpResponse.BodyHandlers.discarding());
    }

    private static CallResult result(CallKind kind, int status, boolean complete, String body) {
        return new CallResult(
                "c7", kind, "entry-0", "key-1", System.nanoTime(), System.nanoTime(), true, status, complete, body);
    }

    private List<String> violations(CallResult... calls) {
        return ResultChecker.violations(List.of(calls), List.of(upstream), Map.of(), Map.of("key-1", "workspace-1"));
    }

    @Test
    void correctResultsHaveNoViolations() {
        assertThat(violations(result(CallKind.BOOK, 200, true, "done c7")), is(empty()));
    }

    @Test
    void aSecondRunOfAnAtMostOnceCallIsDetected() throws Exception {
        runAtUpstream("c7");
        runAtUpstream("c7");

        assertThat(violations(result(CallKind.BOOK, 200, true, "done c7")), hasItem(containsString("ran 2 times")));
    }

    @Test
    void aCallThatRanButWasReportedAsNotRunIsDetected() throws Exception {
        runAtUpstream("c7");

        assertThat(violations(result(CallKind.BOOK, 503, true, "")), hasItem(containsString("reported as not run")));
    }

    @Test
    void aRunThatNoCallerRequestedIsDetected() throws Exception {
        runAtUpstream("c12");

        assertThat(
                violations(result(CallKind.BOOK, 200, true, "done c7")), hasItem(containsString("without a caller")));
    }

    @Test
    void theResponseOfAnotherCallIsDetected() {
        assertThat(
                violations(result(CallKind.LOOK, 200, true, "done c12")),
                hasItem(containsString("response of another call")));
    }

    @Test
    void anApiKeyThatReachesAnUpstreamIsDetected() throws Exception {
        runAtUpstream("c7");

        assertThat(
                violations(result(CallKind.BOOK, 200, true, "done c7")), hasItem(containsString("with its API key")));
    }

    @Test
    void aRunWithARevokedKeyIsDetected() throws Exception {
        runAtUpstream("c7");
        CallResult call = result(CallKind.BOOK, 200, true, "done c7");

        List<String> violations = ResultChecker.violations(
                List.of(call),
                List.of(upstream),
                Map.of("key-1", call.sentAtNanos() - OVER_MAX_REACTION_NANOS),
                Map.of("key-1", "workspace-1"));

        assertThat(violations, hasItem(containsString("revoked key")));
    }

    @Test
    void aNewCallToAnUpstreamThatIsLeavingIsDetected() throws Exception {
        upstream.markLeaving();
        runAtUpstream("c7");
        CallResult call = new CallResult(
                "c7",
                CallKind.BOOK,
                "entry-0",
                "key-1",
                System.nanoTime() + OVER_MAX_REACTION_NANOS,
                System.nanoTime() + OVER_MAX_REACTION_NANOS,
                true,
                200,
                true,
                "done c7");

        assertThat(violations(call), hasItem(containsString("which was leaving")));
    }
}

package coriandersill.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import coriandersill.platform.EngineRun;
import coriandersill.platform.FixedBehavior;
import coriandersill.platform.GenerationBehavior;
import coriandersill.platform.PlatformFixtures;
import coriandersill.platform.StandInUpstream;
import coriandersill.platform.StopOutcome;
import coriandersill.platform.StreamFraming;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against checks and counts of streams that see nothing, so that a run with violations would pass. */
final class StreamCheckerTest {
    private static final int EVENTS = 12;

    /** The number of events of a regular engine, and of a call that no engine knows. */
    private static final int REGULAR_EVENTS = 30;

    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final long POLL_INTERVAL_MILLIS = 5;
    private static final EngineShape FAST = new EngineShape(Integer.MAX_VALUE, 0, 5, false);

    /** Engines whose generations last until an order to stop them has arrived, also on a busy machine. */
    private static final EngineShape SLOW = new EngineShape(Integer.MAX_VALUE, 0, 500, false);

    private static final FixedBehavior ANSWERS_LOST =
            new FixedBehavior(StreamFraming.NONE, EVENTS, StopOutcome.ANSWER_LOST);

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final DisturbanceTracker disturbances = DisturbanceTracker.of(System::nanoTime);
    private Upstream engine;

    @BeforeEach
    void start() throws Exception {
        engine = startEngine(FAST, ANSWERS_LOST);
    }

    @AfterEach
    void stop() throws Exception {
        engine.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private Upstream startEngine(EngineShape shape, GenerationBehavior behavior) throws Exception {
        return Upstream.start(vertx, "e1", Upstream.ENGINE_SERVICE, shape, behavior);
    }

    private void replaceEngine(EngineShape shape, GenerationBehavior behavior) throws Exception {
        engine.close();
        engine = startEngine(shape, behavior);
    }

    /** Runs a generation at the engine to its end, as the engine itself has it. */
    private void runAtEngine() throws Exception {
        client.send(callRequest(), HttpResponse.BodyHandlers.discarding());
        long deadlineNanos = System.nanoTime() + DEADLINE.toNanos();
        while (hasOpenRuns() && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        assertThat("the engine has ended its runs", hasOpenRuns(), is(false));
    }

    /** Returns whether the engine has a run without an end; the caller may see the end of a stream first. */
    private boolean hasOpenRuns() {
        return engine.server().runs().stream().anyMatch(run -> run.end() == EngineRun.End.NONE);
    }

    /** Begins a generation at a slow engine and orders it to stop soon after. */
    private void stopAtEngine() throws Exception {
        replaceEngine(SLOW, ANSWERS_LOST);
        client.send(callRequest(), HttpResponse.BodyHandlers.ofInputStream());
        HttpRequest order = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.port() + "/v1/kv-move"))
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"id\":\"c7\",\"target\":\"127.0.0.1:" + engine.port() + "\",\"last\":true}"))
                .build();
        try {
            client.send(order, HttpResponse.BodyHandlers.discarding());
        } catch (IOException lost) {
            // The answer is lost.
        }
        assertThat(engine.server().stopOrders("c7"), is(List.of(StopOutcome.ANSWER_LOST)));
    }

    private HttpRequest callRequest() {
        return PlatformFixtures.callRequest(engine.port(), "/drafts/1", "c7", "key-1", DEADLINE, "prompt");
    }

    private static CallResult result(boolean complete, String body) {
        return result(CallKind.DRAFT, complete, body);
    }

    private static CallResult result(CallKind kind, boolean complete, String body) {
        return new CallResult(
                "c7", kind, "entry-0", "key-1", System.nanoTime(), System.nanoTime(), true, 200, complete, body);
    }

    private List<String> violations(CallResult call) {
        return StreamChecker.violations(List.of(call), List.of(engine));
    }

    private String summary(CallResult call) {
        return String.join("\n", StreamSummary.lines(List.of(call), List.of(engine), disturbances, kind -> DEADLINE));
    }

    private static String streamEvents(int from, int to) {
        return String.join("\n\n", StandInUpstream.fullStream(REGULAR_EVENTS).subList(from, to)) + "\n\n";
    }

    @Test
    void streamsThatAreWholeOrVisiblyBrokenOffHaveNoViolations() throws Exception {
        runAtEngine();

        assertThat(violations(result(true, streamEvents(0, EVENTS))), is(empty()));
        assertThat(violations(result(false, streamEvents(0, 4))), is(empty()));
    }

    @Test
    void streamsOfARegularEngineThatAreWholeOrVisiblyBrokenOffHaveNoViolations() throws Exception {
        replaceEngine(FAST, FixedBehavior.DEFAULT);
        runAtEngine();

        assertThat(violations(result(true, streamEvents(0, REGULAR_EVENTS))), is(empty()));
        assertThat(violations(result(false, streamEvents(0, 4))), is(empty()));
    }

    @Test
    void aStreamThatIsVisiblyBrokenOffHasNoViolationsAlsoIfNoEngineKnowsItsCall() {
        assertThat(violations(result(false, streamEvents(0, 4))), is(empty()));
    }

    @Test
    void aMissingOrRepeatedEventIsDetectedAlsoInAStreamThatIsBrokenOff() throws Exception {
        runAtEngine();

        assertThat(
                violations(result(false, streamEvents(0, 3) + streamEvents(4, 6))),
                hasItem(containsString("out of order")));
        assertThat(
                violations(result(false, streamEvents(0, 3) + streamEvents(2, 6))),
                hasItem(containsString("out of order")));
    }

    @Test
    void aMissingOrRepeatedEventIsDetectedAlsoIfNoEngineKnowsItsCall() {
        assertThat(
                violations(result(false, streamEvents(0, 3) + streamEvents(4, 6))),
                hasItem(containsString("out of order")));
        assertThat(
                violations(result(false, streamEvents(0, 3) + streamEvents(2, 6))),
                hasItem(containsString("out of order")));
    }

    @Test
    void anEventThatTheGenerationDoesNotHaveIsDetected() throws Exception {
        runAtEngine();

        assertThat(
                violations(result(true, streamEvents(0, EVENTS) + "id: 12\ndata: piece 12\n\n")),
                hasItem(containsString("out of order")));
    }

    @Test
    void aTruncatedStreamThatEndsNormallyIsDetectedByTheLengthThatItsEngineKnows() throws Exception {
        runAtEngine();

        assertThat(
                violations(result(true, streamEvents(0, EVENTS - 1))),
                hasItem(containsString("ended normally after 11 of 12 events")));
    }

    @Test
    void aTruncatedStreamThatEndsNormallyIsDetectedForEachKindOfStream() throws Exception {
        replaceEngine(FAST, FixedBehavior.DEFAULT);
        runAtEngine();

        assertThat(
                violations(result(CallKind.TAG, true, streamEvents(0, 12))),
                hasItem(containsString("ended normally after 12 of 30 events")));
        assertThat(
                violations(result(CallKind.DRAFT, true, streamEvents(0, 12))),
                hasItem(containsString("ended normally after 12 of 30 events")));
    }

    @Test
    void aTruncatedStreamThatEndsNormallyIsDetectedAlsoIfNoEngineKnowsItsCall() {
        assertThat(
                violations(result(CallKind.TAG, true, streamEvents(0, 12))),
                hasItem(containsString("ended normally after 12 of 30 events")));
    }

    @Test
    void aPartOfAnEventAtTheEndOfACompleteStreamIsDetected() throws Exception {
        runAtEngine();

        assertThat(violations(result(true, streamEvents(0, EVENTS) + "id")), hasItem(containsString("ended normally")));
    }

    @Test
    void aCompleteStreamWhoseLastEventNoEngineHasWrittenIsDetected() throws Exception {
        stopAtEngine();

        assertThat(
                violations(result(true, streamEvents(0, EVENTS))),
                hasItem(containsString("no engine has written its last event")));
    }

    @Test
    void aStreamThatIsBrokenOffWithoutCauseIsCounted() throws Exception {
        runAtEngine();

        assertThat(summary(result(false, streamEvents(0, 4))), containsString("of which nothing hindered 1: c7"));
        assertThat(
                summary(result(true, streamEvents(0, EVENTS))),
                containsString("streams broken off: 0 of 1, of which nothing hindered 0"));
    }

    @Test
    void aStreamThatIsBrokenOffSinceTheAnswerToItsOrderWasLostIsCountedAsHindered() throws Exception {
        stopAtEngine();

        assertThat(
                summary(result(false, streamEvents(0, 1))),
                containsString("streams broken off: 1 of 1, of which nothing hindered 0"));
    }

    @Test
    void aStreamThatIsBrokenOffSinceItsEngineIsGoneIsCountedAsHindered() throws Exception {
        runAtEngine();
        engine.close();

        assertThat(
                summary(result(false, streamEvents(0, 4))),
                containsString("streams broken off: 1 of 1, of which nothing hindered 0"));
    }
}

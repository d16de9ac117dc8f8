package coriandersill.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import coriandersill.platform.PlatformFixtures;
import coriandersill.platform.StandInUpstream;
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

/** Each check of the soak sees a system that breaks its promise. */
final class ChecksTest {
    private static final long LATE = Duration.ofSeconds(10).toNanos();

    private final Vertx vertx = Vertx.vertx();
    private Upstream upstream;

    @BeforeEach
    void start() throws Exception {
        upstream = Upstream.start(vertx, "u1", Upstream.PLAIN);
    }

    @AfterEach
    void stop() throws Exception {
        upstream.end();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    /** Lets the upstream run a call, as an entry would that passes everything on. */
    private void run(String id) throws Exception {
        HttpClient.newHttpClient()
                .send(
                        PlatformFixtures.callRequest(
                                upstream.worker().port(), "/books/1", id, "key-1", Duration.ofSeconds(2), "prompt"),
                        HttpResponse.BodyHandlers.discarding());
    }

    private static Call call(CallKind kind, int status, boolean whole, String body) {
        return new Call("c7", kind, "entry-0", "key-1", System.nanoTime(), true, status, whole, body);
    }

    private List<String> broken(Call... calls) {
        return Checks.broken(List.of(calls), List.of(upstream), Map.of(), Map.of("key-1", "house-1"));
    }

    private static String stream(int from, int to) {
        return String.join("\n\n", StandInUpstream.fullStream().subList(from, to)) + "\n\n";
    }

    @Test
    void aSoundSystemBreaksNothing() {
        assertThat(broken(call(CallKind.BOOK, 200, true, "done c7")), is(empty()));
        assertThat(broken(call(CallKind.DRAFT, 200, false, stream(0, 4))), is(empty()));
        assertThat(broken(call(CallKind.DRAFT, 200, true, stream(0, 30))), is(empty()));
    }

    @Test
    void aSecondRunOfACallThatMayRunOnceIsSeen() throws Exception {
        run("c7");
        run("c7");

        assertThat(broken(call(CallKind.BOOK, 200, true, "done c7")), hasItem(containsString("ran 2 times")));
    }

    @Test
    void aRefusalOfACallThatRanIsSeen() throws Exception {
        run("c7");

        assertThat(broken(call(CallKind.BOOK, 503, true, "")), hasItem(containsString("said not to have run")));
    }

    @Test
    void aRunThatNoCallerAskedForIsSeen() throws Exception {
        run("c12");

        assertThat(broken(call(CallKind.BOOK, 200, true, "done c7")), hasItem(containsString("without a caller")));
    }

    @Test
    void anAnswerOfAnotherCallIsSeen() {
        assertThat(broken(call(CallKind.LOOK, 200, true, "done c12")), hasItem(containsString("of another call")));
    }

    @Test
    void aMissingOrRepeatedEventIsSeen() {
        assertThat(
                broken(call(CallKind.DRAFT, 200, false, stream(0, 3) + stream(4, 6))),
                hasItem(containsString("out of order")));
        assertThat(
                broken(call(CallKind.DRAFT, 200, false, stream(0, 3) + stream(2, 6))),
                hasItem(containsString("out of order")));
    }

    @Test
    void aStreamThatEndsTooEarlyAndLooksWholeIsSeen() {
        assertThat(broken(call(CallKind.TAG, 200, true, stream(0, 12))), hasItem(containsString("ended as whole")));
    }

    @Test
    void aKeyThatReachesAnUpstreamIsSeen() throws Exception {
        run("c7");

        assertThat(broken(call(CallKind.BOOK, 200, true, "done c7")), hasItem(containsString("with its key")));
    }

    @Test
    void aRunWithAKeyThatWasTakenAwayIsSeen() throws Exception {
        run("c7");
        Call call = call(CallKind.BOOK, 200, true, "done c7");

        List<String> broken = Checks.broken(
                List.of(call), List.of(upstream), Map.of("key-1", call.sentAt() - LATE), Map.of("key-1", "house-1"));

        assertThat(broken, hasItem(containsString("taken away")));
    }

    @Test
    void newWorkForAnUpstreamThatLeftIsSeen() throws Exception {
        upstream.leaves();
        run("c7");
        Call call =
                new Call("c7", CallKind.BOOK, "entry-0", "key-1", System.nanoTime() + LATE, true, 200, true, "done c7");

        assertThat(broken(call), hasItem(containsString("which had left")));
    }
}

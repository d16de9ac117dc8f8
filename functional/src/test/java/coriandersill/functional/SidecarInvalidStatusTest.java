package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import coriandersill.core.CallId;
import coriandersill.wire.Message;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against what an upstream sends in place of a response, a status that is not that of a final one (200 to 599),
 * and that a sidecar passes on or believes.
 */
final class SidecarInvalidStatusTest {
    private final SidecarFixture sidecar = new SidecarFixture();
    private final Random random = new Random(1);
    private NetServer upstream;
    private RecordingEntry entry;

    /** The status line without the version, and the headers, of the upstream's responses. */
    private volatile String head;

    @BeforeEach
    void start() {
        upstream = sidecar.vertx
                .createNetServer()
                .connectHandler(socket -> socket.handler(request -> {
                    socket.write("HTTP/1.1 " + head + "\r\nContent-Length: 4\r\n\r\n"
                            + (head.startsWith("304") ? "" : "text"));
                    socket.close();
                }));
        upstream.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        sidecar.start(upstream.actualPort(), 4);
        entry = sidecar.connect();
    }

    @AfterEach
    void stop() {
        sidecar.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 Unknown",
                "1 X",
                "20",
                "99 X",
                "101 Switching Protocols",
                "102 Processing",
                "199 X",
                "600 X",
                "999 X",
                "1000 X",
                "abc",
                ""
            })
    void theOutcomeIsUnknownAndNothingIsLearntOfTheUpstream(String status) {
        head = status + "\r\nCoriandersill-Leaving: 1";

        assertThat(outcome(false), is("OUTCOME_UNKNOWN UNKNOWN"));
        head = "200 OK";
        assertThat(outcome(false), is("200"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 Unknown", "1 X", "101 Switching Protocols", "199 X", "600 X", "999 X"})
    void theOutcomeOfAGenerationIsUnknownAndNothingIsLearntOfTheUpstream(String status) {
        head = status + "\r\nCoriandersill-Leaving: 1";

        assertThat(outcome(true), is("OUTCOME_UNKNOWN UNKNOWN"));
        head = "200 OK";
        assertThat(outcome(false), is("200"));
    }

    @ParameterizedTest
    @CsvSource({
        "200 OK, 200",
        "299 X, 299",
        "304 Not Modified, 304",
        "421 Other, 421",
        "499 X, 499",
        "503 Busy, 503",
        "599 X, 599"
    })
    void aFinalAnswerIsPassedOnAsItIs(String status, String expected) {
        head = status;

        assertThat(outcome(false), is(expected));
    }

    /** Returns the status that a call is answered with, or how it failed and whether it ran. */
    private String outcome(boolean generation) {
        Message.CallAttempt attempt = new Message.CallAttempt(CallId.random(random), 1);
        entry.send(new Message.Dispatch(
                attempt,
                new Message.Target("north", 1, "scribe", "v1", "lookups", 0),
                Duration.ofSeconds(20),
                1,
                1,
                1,
                new Message.UpstreamRequest(generation, "GET", "/lookups/1", List.of(), new byte[0]),
                Optional.empty()));
        Await.until(() -> end(attempt).isPresent());
        Message end = end(attempt).orElseThrow();
        if (end instanceof Message.PlainResponse response) {
            return Integer.toString(response.status());
        }
        assertThat(end, instanceOf(Message.Failed.class));
        return ((Message.Failed) end).kind() + " " + ((Message.Failed) end).ran();
    }

    private Optional<Message> end(Message.CallAttempt attempt) {
        return entry.received().stream()
                .filter(message -> !(message instanceof Message.Accepted)
                        && message instanceof Message.CallMessage callMessage
                        && callMessage.attempt().equals(attempt))
                .findFirst();
    }
}

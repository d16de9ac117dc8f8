package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import io.vertx.core.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against invalid input that is executed, that is expensive to reject, that gets an unclear error, or that
 * affects other connections: malformed requests and wire frames are sent to the listeners of a running cluster.
 */
final class BadInputTest {
    private static final EmbeddedCluster CLUSTER = EmbeddedCluster.create(EmbeddedClusterSettings.small());
    private static final String COMPLETIONS = "/v1/completions";
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** Before a sidecar closes a connection it sends at most its own hello, which is shorter than this. */
    private static final int MAX_HELLO_BYTES = 1_000;

    /** Above the limit of the entries, which is 16 KiB. */
    private static final int OVERSIZED_HEADER_BYTES = 64 << 10;

    @BeforeAll
    static void start() {
        CLUSTER.start().join();
        CLUSTER.whenReady().join();
    }

    @AfterAll
    static void stop() {
        CLUSTER.stop(Duration.ofSeconds(1)).join();
    }

    static Stream<Arguments> invalidRequests() {
        return Stream.of(
                Arguments.of("POST", COMPLETIONS, "{\"model\":", 400, "invalid_request", "expected JSON"),
                Arguments.of("POST", COMPLETIONS, "", 400, "invalid_request", "expected a JSON object"),
                Arguments.of("POST", COMPLETIONS, "[1]", 400, "invalid_request", "expected a JSON object, found ARRAY"),
                Arguments.of("POST", COMPLETIONS, "{\"prompt\":\"x\"}", 400, "invalid_request", "model: expected"),
                Arguments.of("POST", COMPLETIONS, "{\"model\":\"scribe\"}", 400, "invalid_request", "prompt: expected"),
                Arguments.of(
                        "POST",
                        COMPLETIONS,
                        "{\"model\":\"scribe\",\"prompt\":\"x\",\"max_tokens\":\"ten\"}",
                        400,
                        "invalid_request",
                        "max_tokens: expected an integer from 1 to 200000, found \"ten\""),
                Arguments.of(
                        "POST",
                        COMPLETIONS,
                        "{\"model\":\"scribe\",\"prompt\":\"x\",\"stream\":\"yes\"}",
                        400,
                        "invalid_request",
                        "stream: expected true or false"),
                Arguments.of(
                        "POST",
                        COMPLETIONS,
                        "{\"model\":\"no such/one\",\"prompt\":\"x\"}",
                        404,
                        "not_found",
                        "service"),
                Arguments.of(
                        "POST", COMPLETIONS, "{\"model\":\"ledger\",\"prompt\":\"x\"}", 404, "not_found", "ledger"),
                Arguments.of("GET", COMPLETIONS, "", 400, "invalid_request", "expected POST"),
                Arguments.of("GET", "/elsewhere", "", 404, "not_found", "path: expected"),
                Arguments.of("GET", "/services/none/x", "", 404, "not_found", "service: expected"),
                Arguments.of(
                        "POST", COMPLETIONS, "x".repeat((4 << 20) + 1), 400, "invalid_request", "at most 4194304"));
    }

    @ParameterizedTest(name = "{0} {1} -> {3} {4}")
    @MethodSource("invalidRequests")
    void anInvalidRequestDoesNotRunAndItsErrorStatesWhatWasExpectedAndFound(
            String method, String path, String body, int status, String errorKind, String messagePart) {
        long startedBefore = CLUSTER.engines().stream()
                .mapToLong(engine -> engine.counters().started())
                .sum();
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
        CallerClient.Response response =
                caller.call(CLUSTER.entryPort(0), method, path, Map.of(), body).join();
        caller.close();
        assertThat(response.body(), response.status(), is(status));
        assertThat(response.errorKind(), is(errorKind));
        assertThat(response.body(), containsString(messagePart.replace("\"", "\\\"")));
        assertThat(response.ran(), is("no"));
        assertThat(
                CLUSTER.engines().stream()
                        .mapToLong(engine -> engine.counters().started())
                        .sum(),
                is(startedBefore));
    }

    @ParameterizedTest
    @ValueSource(strings = {"quickstart.wrong", "quickstart", "nobody.secret", ""})
    void anInvalidApiKeyIsRejectedAsUnauthenticated(String key) {
        CallerClient caller = new CallerClient(key, HttpVersion.HTTP_1_1);
        CallerClient.Response response = caller.call(
                        CLUSTER.entryPort(0), "POST", COMPLETIONS, Map.of(), "{\"model\":\"scribe\",\"prompt\":\"x\"}")
                .join();
        caller.close();
        assertThat(response.status(), is(401));
        assertThat(response.errorKind(), is("unauthenticated"));
    }

    @Test
    void oversizedHeadersAreRejectedWith431() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), CLUSTER.entryPort(0))) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String head = "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + "a".repeat(OVERSIZED_HEADER_BYTES) + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            assertThat(new String(readUntilClosed(socket), StandardCharsets.US_ASCII), containsString(" 431 "));
        }
    }

    @ParameterizedTest(name = "a first frame of {0} bytes")
    @ValueSource(ints = {Integer.MAX_VALUE, -1, (8 << 20) + 1}) // the maximum is 8 MiB
    void aWireFrameWithALengthOutOfRangeClosesOnlyItsOwnConnection(int length) throws IOException {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(),
                CLUSTER.sidecars().get(0).status().getInteger("wire_port"))) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(ByteBuffer.allocate(4).putInt(length).array());
            assertThat(readUntilClosed(socket).length, lessThan(MAX_HELLO_BYTES));
        }
        assertThatTheClusterStillServes();
    }

    @Test
    void aPeerThatSendsAMalformedFrameOrNoHelloIsDisconnected() throws IOException {
        byte[][] firstFrames = {
            {0, 0, 0, 3, (byte) 0xff, (byte) 0xff, (byte) 0xff}, // not protobuf
            {0, 0, 0, 2, (byte) 0x82, 0x7f}, // a truncated field
            {0, 0, 0, 0}, // an empty frame: no hello
        };
        for (byte[] firstFrame : firstFrames) {
            try (Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(),
                    CLUSTER.sidecars().get(0).status().getInteger("wire_port"))) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                socket.getOutputStream().write(firstFrame);
                assertThat(readUntilClosed(socket).length, lessThan(MAX_HELLO_BYTES));
            }
        }
        assertThatTheClusterStillServes();
    }

    private static void assertThatTheClusterStillServes() {
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
        assertThat(
                caller.stream(CLUSTER.entryPort(0), "scribe", 5).join().texts().size(), is(5));
        caller.close();
    }

    private static byte[] readUntilClosed(Socket socket) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[4_096];
        try {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                read.write(buffer, 0, count);
            }
        } catch (java.net.SocketException reset) {
            // A listener that closes a connection with unread input resets it.
            assertThat(reset.getMessage(), containsString("reset"));
        }
        return read.toByteArray();
    }
}

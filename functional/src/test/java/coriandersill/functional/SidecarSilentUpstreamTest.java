package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.wire.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an upstream that neither accepts nor refuses connections, as one whose process stands still, and whose
 * silence counts as a proof that it runs or that it has ended.
 */
final class SidecarSilentUpstreamTest {
    private static final int FILLING_CONNECT_TIMEOUT_MILLIS = 200;

    /** Longer than a sidecar tries to connect. */
    private static final Duration SILENCE = Duration.ofSeconds(3);

    private final SidecarFixture sidecar = new SidecarFixture();
    private final List<Socket> backlog = new ArrayList<>();
    private final Random random = new Random(1);
    private ServerSocket upstream;
    private RecordingEntry entry;

    @BeforeEach
    void start() throws IOException {
        upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sidecar.start(upstream.getLocalPort(), 4);
        entry = sidecar.connect();
    }

    @AfterEach
    void stop() throws IOException {
        sidecar.close();
        for (Socket socket : backlog) {
            socket.close();
        }
        upstream.close();
    }

    @Test
    void aResponseWithoutFramingWhoseUpstreamIsSilentIsNotDelivered() throws IOException {
        Message.CallAttempt attempt = dispatch();
        try (Socket accepted = upstream.accept()) {
            accepted.getInputStream().read();
            fillBacklog();
            write(accepted, "HTTP/1.1 200 OK\r\n\r\nhalf of the te");
        }

        Message end = end(attempt);

        assertThat(end, instanceOf(Message.Failed.class));
        assertThat(((Message.Failed) end).kind(), is(ErrorKind.OUTCOME_UNKNOWN));
        assertThat(((Message.Failed) end).ran(), is(Ran.UNKNOWN));
    }

    /** Guards against new calls for an upstream that leaves and is merely too busy to accept a connection. */
    @Test
    void anUpstreamThatSaidThatItLeavesIsNotTakenForANewProcessWhenItIsSilent() throws Exception {
        Message.CallAttempt first = dispatch();
        try (Socket accepted = upstream.accept()) {
            accepted.getInputStream().read();
            fillBacklog();
            write(accepted, "HTTP/1.1 200 OK\r\nCoriandersill-Leaving: 1\r\nContent-Length: 5\r\n\r\nwhole");
            assertThat(end(first), instanceOf(Message.PlainResponse.class));
        }
        TimeUnit.MILLISECONDS.sleep(SILENCE.toMillis());
        // The sidecar has closed the first connection, which was silent as well.
        entry = sidecar.connect();

        Message end = end(dispatch());

        assertThat(end, instanceOf(Message.Refused.class));
        assertThat(((Message.Refused) end).kind(), is(ErrorKind.DRAINING));
    }

    /** Opens connections that are not accepted until no more can be opened. */
    private void fillBacklog() throws IOException {
        while (true) {
            Socket socket = new Socket();
            backlog.add(socket);
            try {
                socket.connect(upstream.getLocalSocketAddress(), FILLING_CONNECT_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException full) {
                return;
            }
        }
    }

    private static void write(Socket socket, String response) throws IOException {
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private Message end(Message.CallAttempt attempt) {
        return Await.untilValue(
                        () -> entry.received().stream()
                                .filter(message -> message instanceof Message.CallMessage callMessage
                                        && callMessage.attempt().equals(attempt)
                                        && !(message instanceof Message.Accepted))
                                .findFirst(),
                        Optional::isPresent)
                .orElseThrow();
    }

    private Message.CallAttempt dispatch() {
        Message.CallAttempt attempt = new Message.CallAttempt(CallId.random(random), 1);
        entry.send(new Message.Dispatch(
                attempt,
                new Message.Target("north", 1, "scribe", "v1", "lookups", 0),
                Duration.ofSeconds(20),
                1,
                1,
                1,
                new Message.UpstreamRequest(false, "GET", "/lookups/1", List.of(), new byte[0]),
                Optional.empty()));
        return attempt;
    }
}

package coriandersill.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a fault of a connection that looks like the regular end of a stream. */
final class LoopbackProxyTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private LoopbackProxy proxy;

    @BeforeEach
    void start() throws Exception {
        NetServer server = vertx.createNetServer().connectHandler(socket -> socket.write("x"));
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        proxy = LoopbackProxy.to(vertx, server.actualPort());
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Test
    void anOpenConnectionThatIsResetHasNoEnd() throws Exception {
        try (Socket client = connect()) {
            assertThat(client.getInputStream().read(), is((int) 'x'));

            proxy.setMode(LoopbackProxy.Mode.RESET);

            assertThrows(SocketException.class, () -> client.getInputStream().read());
        }
    }

    @Test
    void aNewConnectionThatIsResetHasNoEnd() throws Exception {
        proxy.setMode(LoopbackProxy.Mode.RESET);

        try (Socket client = connect()) {
            assertThrows(SocketException.class, () -> client.getInputStream().read());
        }
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        return client;
    }
}

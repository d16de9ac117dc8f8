package coriandersill.relay.internal;

import coriandersill.connections.GuardedPort;
import coriandersill.core.ManagedService;
import coriandersill.relay.RelaySettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Readiness endpoint for the load balancer: 200 while this entry is ready for new connections, otherwise 503, on every
 * path.
 */
final class ReadinessServer implements ManagedService {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final RelaySettings settings;
    private final GuardedPort port;
    private final BooleanSupplier ready;
    private HttpServer server;

    ReadinessServer(Vertx vertx, RelaySettings settings, GuardedPort port, BooleanSupplier ready) {
        this.vertx = vertx;
        this.settings = settings;
        this.port = port;
        this.ready = ready;
    }

    @Override
    public CompletableFuture<Void> start() {
        HttpServerOptions options =
                new HttpServerOptions().setHost(settings.readinessHost()).setPort(settings.readinessPort());
        port.start(vertx);
        server = vertx.createHttpServer(port.limitInternal(options))
                .connectionHandler(port::add)
                .requestHandler(request -> request.response()
                        .setStatusCode(ready.getAsBoolean() ? OK : UNAVAILABLE)
                        .end());
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return server.close().toCompletionStage().toCompletableFuture();
    }
}

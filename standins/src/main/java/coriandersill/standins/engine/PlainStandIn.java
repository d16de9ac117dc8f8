package coriandersill.standins.engine;

import coriandersill.core.ManagedService;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/** A stand-in for a plain service that echoes the properties of each call and counts executions by idempotency key. */
public final class PlainStandIn implements ManagedService {
    /** The key under which calls without an idempotency key are counted. */
    private static final String NO_KEY = "-";

    private final Vertx vertx;
    private final String host;
    private final int requestedPort;
    private final Duration responseDelay;
    private final ExecutionCounters counters = new ExecutionCounters();
    private HttpServer server;

    private PlainStandIn(Vertx vertx, String host, int port, Duration responseDelay) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.host = Objects.requireNonNull(host, "host");
        this.requestedPort = port;
        this.responseDelay = Objects.requireNonNull(responseDelay, "responseDelay");
    }

    /** Returns a service that responds to each call after {@code responseDelay}; port 0 selects any free port. */
    public static PlainStandIn create(Vertx vertx, String host, int port, Duration responseDelay) {
        return new PlainStandIn(vertx, host, port, responseDelay);
    }

    /** Returns the port on which the service listens; must not be called before it is started. */
    public int port() {
        return server.actualPort();
    }

    /** Returns the counters of executed requests. */
    public ExecutionCounters counters() {
        return counters;
    }

    @Override
    public CompletableFuture<Void> start() {
        server = vertx.createHttpServer(new HttpServerOptions().setHost(host).setPort(requestedPort))
                .requestHandler(this::handle);
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration gracePeriod) {
        return server.close().toCompletionStage().toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(ExecutionCounters.PATH)) {
            request.response().end(counters.toJson().toBuffer());
            return;
        }
        request.body().onSuccess(body -> {
            String key = request.getHeader("Idempotency-Key");
            counters.recordStart(key == null ? NO_KEY : key);
            vertx.setTimer(Math.max(1, responseDelay.toMillis()), done -> respond(request, body));
        });
    }

    private void respond(HttpServerRequest request, Buffer body) {
        counters.recordEnd(true);
        JsonObject response = new JsonObject()
                .put("method", request.method().name())
                .put("path", request.path())
                .put("bytes", body.length())
                .put("run", counters.started());
        request.response().putHeader("Content-Type", "application/json").end(response.toBuffer());
    }
}

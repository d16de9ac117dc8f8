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

/** A plain service that answers each call with what it received, and keeps books of how often each key ran. */
public final class PlainStandIn implements ManagedService {
    private final Vertx vertx;
    private final String host;
    private final int requestedPort;
    private final Duration delay;
    private final ExecutionCounters books = new ExecutionCounters();
    private HttpServer server;

    private PlainStandIn(Vertx vertx, String host, int port, Duration delay) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.host = Objects.requireNonNull(host, "host");
        this.requestedPort = port;
        this.delay = Objects.requireNonNull(delay, "delay");
    }

    /** Returns a service for an address that takes {@code delay} for each call; port 0 takes any free one. */
    public static PlainStandIn create(Vertx vertx, String host, int port, Duration delay) {
        return new PlainStandIn(vertx, host, port, delay);
    }

    /** The port that the service listens on, once started. */
    public int port() {
        return server.actualPort();
    }

    /** What it ran. */
    public ExecutionCounters books() {
        return books;
    }

    @Override
    public CompletableFuture<Void> start() {
        server = vertx.createHttpServer(new HttpServerOptions().setHost(host).setPort(requestedPort))
                .requestHandler(this::handle);
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return server.close().toCompletionStage().toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(ExecutionCounters.PATH)) {
            request.response().end(books.toJson().toBuffer());
            return;
        }
        request.body().onSuccess(body -> {
            String key = request.getHeader("Idempotency-Key");
            books.begin(key == null ? "-" : key);
            vertx.setTimer(Math.max(1, delay.toMillis()), done -> answer(request, body));
        });
    }

    private void answer(HttpServerRequest request, Buffer body) {
        books.end(true);
        JsonObject answer = new JsonObject()
                .put("method", request.method().name())
                .put("path", request.path())
                .put("bytes", body.length())
                .put("run", books.started());
        request.response().putHeader("Content-Type", "application/json").end(answer.toBuffer());
    }
}

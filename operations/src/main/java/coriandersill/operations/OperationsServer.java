package coriandersill.operations;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import coriandersill.connections.GuardedPort;
import coriandersill.connections.ProcessLimits;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * HTTP server for {@code /healthz}, {@code /readyz}, {@code /metrics} (Prometheus text format), {@code /metrics.json}
 * and JSON status pages.
 *
 * <pre>{@code
 * OperationsServer operations = OperationsServer.create(vertx, "127.0.0.1", 0, metrics, daemon::notReadyReason)
 *         .page("/status", daemon::status);
 * }</pre>
 */
public final class OperationsServer implements ManagedService {
    private static final int STATUS_UNAVAILABLE = 503;
    /** Enough for monitoring and operators. */
    private static final int MAX_CONNECTIONS = 64;

    private static final int STATUS_NOT_FOUND = 404;

    private final Vertx vertx;
    private final String host;
    private final int port;
    private final MetricRegistry metrics;
    private final Supplier<String> notReadyReason;
    private final Map<String, Supplier<JsonObject>> pages = new ConcurrentHashMap<>();
    private final CollectorRegistry prometheusRegistry = new CollectorRegistry();

    /** Encodes metrics with rates per second and durations in milliseconds. */
    private final ObjectMapper jsonMapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private EventLog events = EventLog.none();
    private HttpServer server;

    private OperationsServer(
            Vertx vertx, String host, int port, MetricRegistry metrics, Supplier<String> notReadyReason) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.host = Objects.requireNonNull(host, "host");
        this.port = port;
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.notReadyReason = Objects.requireNonNull(notReadyReason, "notReadyReason");
        prometheusRegistry.register(new DropwizardExports(metrics));
    }

    /**
     * Returns a server that is not started yet.
     *
     * @param host the address to listen on
     * @param port the port to listen on; 0 for any free port, which {@link #port} returns after the start
     * @param metrics the metrics to serve
     * @param notReadyReason supplies the reason why the daemon is not ready, or null while it is ready
     */
    public static OperationsServer create(
            Vertx vertx, String host, int port, MetricRegistry metrics, Supplier<String> notReadyReason) {
        return new OperationsServer(vertx, host, port, metrics, notReadyReason);
    }

    /**
     * Adds a JSON page.
     *
     * @param path the path at which the page is served
     * @param content called on the event loop for each request of the page, so it must not block
     */
    public OperationsServer page(String path, Supplier<JsonObject> content) {
        pages.put(path, content);
        return this;
    }

    /** Sets the log for connections that are closed; none by default. */
    public OperationsServer events(EventLog log) {
        events = log;
        return this;
    }

    /** Returns the port that the server listens on; valid once it is started. */
    public int port() {
        return server.actualPort();
    }

    @Override
    public CompletableFuture<Void> start() {
        GuardedPort guard = GuardedPort.internal(
                "operations",
                ProcessLimits.of(OptionalLong.empty(), OptionalInt.empty()).maxInternalConnections(MAX_CONNECTIONS),
                MonotonicClock.system(),
                events,
                metrics);
        guard.start(vertx);
        HttpServerOptions options = new HttpServerOptions().setHost(host).setPort(port);
        server = vertx.createHttpServer(guard.limitInternal(options))
                .connectionHandler(guard::add)
                .requestHandler(this::handle);
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        if (server == null) {
            return CompletableFuture.completedFuture(null);
        }
        return server.close().toCompletionStage().toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/healthz" -> request.response().end("ok\n");
            case "/readyz" -> handleReadiness(request);
            case "/metrics" -> handlePrometheusMetrics(request);
            case "/metrics.json" -> handleJsonMetrics(request);
            default -> handlePage(request);
        }
    }

    private void handleReadiness(HttpServerRequest request) {
        String reason = notReadyReason.get();
        if (reason == null) {
            request.response().end("ready\n");
        } else {
            request.response().setStatusCode(STATUS_UNAVAILABLE).end("not ready: " + reason + "\n");
        }
    }

    private void handlePrometheusMetrics(HttpServerRequest request) {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, prometheusRegistry.metricFamilySamples());
        } catch (IOException e) {
            throw new IllegalStateException("metrics: writing to a string failed", e);
        }
        request.response()
                .putHeader("Content-Type", TextFormat.CONTENT_TYPE_004)
                .end(text.toString());
    }

    private void handleJsonMetrics(HttpServerRequest request) {
        try {
            request.response()
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(jsonMapper.writeValueAsBytes(metrics)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("metrics: encoding as JSON failed", e);
        }
    }

    private void handlePage(HttpServerRequest request) {
        Supplier<JsonObject> content = pages.get(request.path());
        if (content == null) {
            request.response().setStatusCode(STATUS_NOT_FOUND).end();
        } else {
            request.response()
                    .putHeader("Content-Type", "application/json")
                    .end(content.get().toBuffer());
        }
    }
}

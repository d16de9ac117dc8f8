package coriandersill.standins.platform;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import coriandersill.core.Ran;
import coriandersill.sharedlog.LogPage;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * An HTTP server with the platform's services, for tests and the quickstart: log, instance registry and weight store.
 *
 * <pre>{@code
 * PlatformServer server = PlatformServer.create(vertx, "127.0.0.1", 0, InMemoryLog.of(InstantSource.system()));
 * server.start().thenRun(() -> System.out.println(server.port()));
 * }</pre>
 *
 * <p>Paths: {@code POST} and {@code GET /streams/{stream}/records}, {@code GET /instances}, {@code PUT
 * /instances/{id}}, {@code GET /weights/{name}}. If an append or a read fails for any reason other than a log that is
 * down, such as a lost response, the connection is closed.
 */
public final class PlatformServer implements ManagedService {
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int DEFAULT_PAGE_RECORDS = 100;
    private static final int MAX_PAGE_RECORDS = 10_000;
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final Vertx vertx;
    private final String host;
    private final int port;
    private final InMemoryLog log;
    private final InMemoryInstanceRegistry instanceRegistry;
    private final InMemoryWeightStore weightStore;
    private volatile HttpServer server;

    private PlatformServer(
            Vertx vertx,
            String host,
            int port,
            InMemoryLog log,
            InMemoryInstanceRegistry instanceRegistry,
            InMemoryWeightStore weightStore) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.host = Objects.requireNonNull(host, "host");
        this.port = port;
        this.log = Objects.requireNonNull(log, "log");
        this.instanceRegistry = instanceRegistry;
        this.weightStore = weightStore;
    }

    /** Returns a server on {@code port}, or any free port if 0, whose instance registrations expire after 10 s. */
    public static PlatformServer create(Vertx vertx, String host, int port, InMemoryLog log) {
        return create(
                vertx,
                host,
                port,
                log,
                InMemoryInstanceRegistry.of(Duration.ofSeconds(10)),
                InMemoryWeightStore.unlimited());
    }

    /** Returns a server with the given instance registry and weight store. */
    public static PlatformServer create(
            Vertx vertx,
            String host,
            int port,
            InMemoryLog log,
            InMemoryInstanceRegistry instanceRegistry,
            InMemoryWeightStore weightStore) {
        return new PlatformServer(vertx, host, port, log, instanceRegistry, weightStore);
    }

    /**
     * Returns the port on which the server listens.
     *
     * @throws IllegalStateException if the server has not started yet
     */
    public int port() {
        HttpServer running = server;
        if (running == null) {
            throw new IllegalStateException("platform server: expected it to be started, found it not started");
        }
        return running.actualPort();
    }

    @Override
    public CompletableFuture<Void> start() {
        HttpServerOptions options = new HttpServerOptions().setHost(host).setPort(port);
        return vertx.createHttpServer(options)
                .requestHandler(this::handle)
                .listen()
                .<Void>map(listening -> {
                    server = listening;
                    return null;
                })
                .toCompletionStage()
                .toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration gracePeriod) {
        HttpServer running = server;
        return running == null
                ? CompletableFuture.completedFuture(null)
                : running.shutdown(gracePeriod.toMillis(), TimeUnit.MILLISECONDS)
                        .toCompletionStage()
                        .toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        String[] path = request.path().split("/", -1);
        HttpMethod method = request.method();
        if (path.length == 4 && path[1].equals("streams") && path[3].equals("records")) {
            if (method.equals(HttpMethod.POST)) {
                readBody(request, body -> append(request, path[2], body));
                return;
            }
            if (method.equals(HttpMethod.GET)) {
                read(request, path[2]);
                return;
            }
        }
        if (path.length == 2 && path[1].equals("instances") && method.equals(HttpMethod.GET)) {
            respond(request, 200, instanceRegistry.toJson());
        } else if (path.length == 3 && path[1].equals("instances") && method.equals(HttpMethod.PUT)) {
            readBody(request, body -> {
                instanceRegistry.put(path[2], body);
                respond(request, 200, new JsonObject());
            });
        } else if (path.length == 3 && path[1].equals("weights") && method.equals(HttpMethod.GET)) {
            weightStore.load(path[2], (status, body) -> respond(request, status, body));
        } else {
            respond(request, 404, errorBody("no such path"));
        }
    }

    private void append(HttpServerRequest request, String stream, JsonObject body) {
        List<byte[]> records = new ArrayList<>();
        for (Object record : body.getJsonArray("records")) {
            records.add(Base64.getDecoder().decode((String) record));
        }
        Context context = vertx.getOrCreateContext();
        CompletableFuture<Long> unused = log.append(stream, records)
                .whenComplete((first, failure) -> context.runOnContext(
                        done -> respondOrClose(request, failure, () -> new JsonObject().put("first", first))));
    }

    private void read(HttpServerRequest request, String stream) {
        long from = parseNumber(request, "from", 0, Long.MAX_VALUE);
        int limit = (int) parseNumber(request, "limit", DEFAULT_PAGE_RECORDS, MAX_PAGE_RECORDS);
        long waitMillis = parseNumber(request, "waitMillis", 0, MAX_WAIT_MILLIS);
        if (from < 0 || limit < 0 || waitMillis < 0) {
            respond(request, 400, errorBody("from, limit and waitMillis: expected numbers of zero or more"));
            return;
        }
        Context context = vertx.getOrCreateContext();
        CompletableFuture<LogPage> page =
                waitMillis == 0 ? log.readNow(stream, from, limit) : log.read(stream, from, limit);
        long timer = waitMillis == 0 ? -1 : vertx.setTimer(waitMillis, id -> log.endPendingRead(stream, from, page));
        request.response().closeHandler(closed -> log.endPendingRead(stream, from, page));
        CompletableFuture<LogPage> unused = page.whenComplete((found, failure) -> context.runOnContext(done -> {
            vertx.cancelTimer(timer);
            respondOrClose(request, failure, () -> toJson(found));
        }));
    }

    private static JsonObject toJson(LogPage page) {
        JsonArray records = new JsonArray();
        page.records()
                .forEach(record -> records.add(new JsonObject()
                        .put("offset", record.offset())
                        .put("time", record.time().toString())
                        .put("data", Base64.getEncoder().encodeToString(record.data()))));
        return new JsonObject()
                .put("oldest", page.oldest())
                .put("end", page.end())
                .put("records", records);
    }

    private static void respondOrClose(HttpServerRequest request, Throwable failure, Supplier<JsonObject> body) {
        if (failure == null) {
            respond(request, 200, body.get());
            return;
        }
        CallFailure cause = CallFailure.from(failure);
        if (cause.kind() == ErrorKind.LOG_UNAVAILABLE && cause.ran() == Ran.NO) {
            respond(request, 503, errorBody(cause.getMessage()).put("taken", false));
        } else {
            closeConnection(request);
        }
    }

    private static void closeConnection(HttpServerRequest request) {
        var unused = request.connection().close();
    }

    private static void readBody(HttpServerRequest request, Consumer<JsonObject> handler) {
        Buffer collected = Buffer.buffer();
        request.handler(part -> {
            collected.appendBuffer(part);
            if (collected.length() > MAX_BODY_BYTES) {
                closeConnection(request);
            }
        });
        request.endHandler(end -> {
            try {
                handler.accept(collected.toJsonObject());
            } catch (RuntimeException e) {
                respond(request, 400, errorBody(String.valueOf(e.getMessage())));
            }
        });
    }

    /** Returns a query parameter, limited to {@code max}; -1 if it is not a number. */
    private static long parseNumber(HttpServerRequest request, String name, long defaultValue, long max) {
        String text = request.getParam(name);
        try {
            return text == null ? defaultValue : Math.min(max, Long.parseLong(text));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static void respond(HttpServerRequest request, int status, JsonObject body) {
        if (!request.response().ended() && !request.response().closed()) {
            var unused = request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .end(body.toBuffer());
        }
    }

    private static JsonObject errorBody(String message) {
        return new JsonObject().put("error", message);
    }
}

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
 * The platform's services over HTTP, for tests and the quickstart: log, instance list and weight store.
 *
 * <pre>{@code
 * PlatformServer server = PlatformServer.create(vertx, "127.0.0.1", 0, InMemoryLog.of(InstantSource.system()));
 * server.start().thenRun(() -> System.out.println(server.port()));
 * }</pre>
 *
 * <p>Paths: {@code POST} and {@code GET /streams/{stream}/records}, {@code GET /instances}, {@code PUT
 * /instances/{id}}, {@code GET /weights/{name}}. A lost answer of the log closes the connection.
 */
public final class PlatformServer implements ManagedService {
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int MAX_LIMIT = 10_000;
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final Vertx vertx;
    private final String host;
    private final int port;
    private final InMemoryLog log;
    private final InMemoryInstanceRegistry instances;
    private final InMemoryWeightStore weights;
    private volatile HttpServer server;

    private PlatformServer(
            Vertx vertx,
            String host,
            int port,
            InMemoryLog log,
            InMemoryInstanceRegistry instances,
            InMemoryWeightStore weights) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.host = Objects.requireNonNull(host, "host");
        this.port = port;
        this.log = Objects.requireNonNull(log, "log");
        this.instances = instances;
        this.weights = weights;
    }

    /** Returns a server on {@code port}, or on a free one for 0, with instances that age out after 10 s. */
    public static PlatformServer create(Vertx vertx, String host, int port, InMemoryLog log) {
        return create(
                vertx,
                host,
                port,
                log,
                InMemoryInstanceRegistry.of(Duration.ofSeconds(10)),
                InMemoryWeightStore.unlimited());
    }

    /** Returns a server with the given list of instances and weights. */
    public static PlatformServer create(
            Vertx vertx,
            String host,
            int port,
            InMemoryLog log,
            InMemoryInstanceRegistry instances,
            InMemoryWeightStore weights) {
        return new PlatformServer(vertx, host, port, log, instances, weights);
    }

    /** The port that it listens on; throws {@link IllegalStateException} before the start has completed. */
    public int port() {
        HttpServer running = server;
        if (running == null) {
            throw new IllegalStateException("platform server: expected a started one, found one that is not");
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
    public CompletableFuture<Void> stop(Duration grace) {
        HttpServer running = server;
        return running == null
                ? CompletableFuture.completedFuture(null)
                : running.shutdown(grace.toMillis(), TimeUnit.MILLISECONDS)
                        .toCompletionStage()
                        .toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        String[] path = request.path().split("/", -1);
        HttpMethod method = request.method();
        if (path.length == 4 && path[1].equals("streams") && path[3].equals("records")) {
            if (method.equals(HttpMethod.POST)) {
                withBody(request, body -> append(request, path[2], body));
                return;
            }
            if (method.equals(HttpMethod.GET)) {
                read(request, path[2]);
                return;
            }
        }
        if (path.length == 2 && path[1].equals("instances") && method.equals(HttpMethod.GET)) {
            answer(request, 200, instances.toJson());
        } else if (path.length == 3 && path[1].equals("instances") && method.equals(HttpMethod.PUT)) {
            withBody(request, body -> {
                instances.put(path[2], body);
                answer(request, 200, new JsonObject());
            });
        } else if (path.length == 3 && path[1].equals("weights") && method.equals(HttpMethod.GET)) {
            weights.load(path[2], (status, body) -> answer(request, status, body));
        } else {
            answer(request, 404, error("no such path"));
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
                        done -> answerOrFail(request, failure, () -> new JsonObject().put("first", first))));
    }

    private void read(HttpServerRequest request, String stream) {
        long from = number(request, "from", 0, Long.MAX_VALUE);
        int limit = (int) number(request, "limit", 100, MAX_LIMIT);
        long waitMillis = number(request, "waitMillis", 0, MAX_WAIT_MILLIS);
        if (from < 0 || limit < 0 || waitMillis < 0) {
            answer(request, 400, error("from, limit and waitMillis: expected numbers of zero or more"));
            return;
        }
        Context context = vertx.getOrCreateContext();
        CompletableFuture<LogPage> page =
                waitMillis == 0 ? log.readNow(stream, from, limit) : log.read(stream, from, limit);
        long timer = waitMillis == 0 ? -1 : vertx.setTimer(waitMillis, id -> log.endWait(stream, from, page));
        request.response().closeHandler(closed -> log.endWait(stream, from, page));
        CompletableFuture<LogPage> unused = page.whenComplete((found, failure) -> context.runOnContext(done -> {
            vertx.cancelTimer(timer);
            answerOrFail(request, failure, () -> toJson(found));
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

    private static void answerOrFail(HttpServerRequest request, Throwable failure, Supplier<JsonObject> body) {
        if (failure == null) {
            answer(request, 200, body.get());
            return;
        }
        CallFailure cause = CallFailure.from(failure);
        if (cause.kind() == ErrorKind.LOG_UNAVAILABLE && cause.ran() == Ran.NO) {
            answer(request, 503, error(cause.getMessage()).put("taken", false));
        } else {
            closeConnection(request);
        }
    }

    private static void closeConnection(HttpServerRequest request) {
        var unused = request.connection().close();
    }

    private static void withBody(HttpServerRequest request, Consumer<JsonObject> handler) {
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
                answer(request, 400, error(String.valueOf(e.getMessage())));
            }
        });
    }

    private static long number(HttpServerRequest request, String name, long otherwise, long max) {
        String text = request.getParam(name);
        try {
            return text == null ? otherwise : Math.min(max, Long.parseLong(text));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static void answer(HttpServerRequest request, int status, JsonObject body) {
        if (!request.response().ended() && !request.response().closed()) {
            var unused = request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .end(body.toBuffer());
        }
    }

    private static JsonObject error(String message) {
        return new JsonObject().put("error", message);
    }
}

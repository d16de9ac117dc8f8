package coriandersill.standins.engine;

import coriandersill.core.ManagedService;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A model engine on the completions form that generates {@code w0 w1 w2 ...} with continuous batching.
 *
 * <pre>{@code
 * EngineStandIn engine = EngineStandIn.create(vertx, "127.0.0.1", 0, EngineSettings.fast());
 * engine.start().join();
 * }</pre>
 *
 * <p>All running generations gain a token at each step. Its state is confined to one Vert.x context.
 */
public final class EngineStandIn implements ManagedService {
    private static final Buffer DONE = Buffer.buffer("data: [DONE]\n\n");

    private final Vertx vertx;
    private final String host;
    private final int requestedPort;
    private final EngineSettings settings;
    private final ExecutionCounters books = new ExecutionCounters();
    private final Set<Generation> running = new LinkedHashSet<>();
    private HttpServer server;
    private long timer = -1;
    private long requests;

    private EngineStandIn(Vertx vertx, String host, int port, EngineSettings settings) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.host = Objects.requireNonNull(host, "host");
        this.requestedPort = port;
        this.settings = Objects.requireNonNull(settings, "settings");
    }

    /** Returns an engine for an address; port 0 takes any free one. */
    public static EngineStandIn create(Vertx vertx, String host, int port, EngineSettings settings) {
        return new EngineStandIn(vertx, host, port, settings);
    }

    /** The port that the engine listens on, once started. */
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
        timer = vertx.setPeriodic(settings.iteration().toMillis(), step -> step());
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        vertx.cancelTimer(timer);
        return server.close().toCompletionStage().toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(ExecutionCounters.PATH)) {
            request.response().end(books.toJson().toBuffer());
            return;
        }
        request.body().onSuccess(body -> begin(request, body.toJsonObject()));
    }

    private synchronized void begin(HttpServerRequest request, JsonObject body) {
        requests++;
        boolean chat = request.path().endsWith("/chat/completions");
        String requestId = request.getHeader("X-Request-Id");
        String id = requestId == null ? "cmpl-" + requests : requestId;
        int length = body.getInteger("max_tokens", settings.defaultTokens());
        boolean fails = (requests * 0.618_033_988_75) % 1.0 < settings.failFraction();
        HttpServerResponse response = request.response();
        response.setChunked(true);
        response.putHeader("Content-Type", "text/event-stream");
        Generation generation = new Generation(id, chat, length, fails, response);
        books.begin(id);
        response.closeHandler(closed -> drop(generation));
        response.exceptionHandler(error -> drop(generation));
        vertx.setTimer(Math.max(1, settings.firstToken().toMillis()), ready -> join(generation));
    }

    private synchronized void join(Generation generation) {
        if (!generation.ended) {
            running.add(generation);
            generation.step();
        }
    }

    private synchronized void step() {
        for (Generation generation : List.copyOf(running)) {
            generation.step();
        }
    }

    private synchronized void drop(Generation generation) {
        if (!generation.ended) {
            generation.end(false);
        }
    }

    /** One running generation; guarded by the engine. */
    private final class Generation {
        private final String id;
        private final boolean chat;
        private final int length;
        private final boolean fails;
        private final HttpServerResponse response;
        private int generated;
        private boolean ended;

        Generation(String id, boolean chat, int length, boolean fails, HttpServerResponse response) {
            this.id = id;
            this.chat = chat;
            this.length = length;
            this.fails = fails;
            this.response = response;
        }

        void step() {
            if (ended || response.writeQueueFull()) {
                return;
            }
            if (fails && generated >= length / 2) {
                end(false);
                response.reset();
                return;
            }
            boolean last = generated + 1 >= length;
            response.write(chunk(last));
            generated++;
            books.token();
            if (last) {
                end(true);
                response.end(DONE);
            }
        }

        void end(boolean byItself) {
            ended = true;
            running.remove(this);
            books.end(byItself);
        }

        private Buffer chunk(boolean last) {
            String content =
                    chat ? "\"delta\":{\"content\":\" w" + generated + "\"}" : "\"text\":\" w" + generated + "\"";
            String reason = last ? "\"length\"" : "null";
            String object = chat ? "chat.completion.chunk" : "text_completion";
            return Buffer.buffer("data: {\"id\":\"" + id + "\",\"object\":\"" + object + "\",\"choices\":[{\"index\":0,"
                    + content + ",\"finish_reason\":" + reason + "}]}\n\n");
        }
    }
}

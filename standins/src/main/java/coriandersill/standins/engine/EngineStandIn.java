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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a model engine with the completions API that generates {@code w0 w1 w2 ...} with continuous batching.
 *
 * <pre>{@code
 * EngineStandIn engine = EngineStandIn.create(vertx, "127.0.0.1", 0, EngineSettings.fast());
 * engine.start().join();
 * }</pre>
 *
 * <p>Every response is streamed, whether or not the request asks for a stream. Each step adds a token to every running
 * generation whose response can take it; a slow reader delays only its own generation. The generations are guarded by
 * this object's monitor.
 */
public final class EngineStandIn implements ManagedService {
    /** Multiples of the golden ratio modulo 1 spread the failing requests evenly over the request numbers. */
    private static final double GOLDEN_RATIO_FRACTION = 0.618_033_988_75;

    /** The time between a crash and the next start. */
    private static final long RESTART_MILLIS = 400;

    private static final Buffer DONE = Buffer.buffer("data: [DONE]\n\n");

    private final Vertx vertx;
    private final String host;
    private final int requestedPort;
    private final EngineSettings settings;
    private final ExecutionCounters counters = new ExecutionCounters();
    private final Set<Generation> running = new LinkedHashSet<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private volatile String crashText;
    private HttpServer server;
    private long stepTimer = -1;
    private long requestCount;

    private EngineStandIn(Vertx vertx, String host, int port, EngineSettings settings) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.host = Objects.requireNonNull(host, "host");
        this.requestedPort = port;
        this.settings = Objects.requireNonNull(settings, "settings");
    }

    /** Returns an engine that will listen on the given address; port 0 selects any free port. */
    public static EngineStandIn create(Vertx vertx, String host, int port, EngineSettings settings) {
        return new EngineStandIn(vertx, host, port, settings);
    }

    /** Returns the port on which the engine listens; must not be called before it is started. */
    public int port() {
        return server.actualPort();
    }

    /** Returns the counters of executed requests. */
    public ExecutionCounters counters() {
        return counters;
    }

    /** Makes the engine end when it is about to begin a generation whose request contains {@code text}. */
    public void crashOn(String text) {
        crashText = text;
    }

    /** Returns how often the engine has ended by such a request. */
    public int crashes() {
        return crashes.get();
    }

    @Override
    public CompletableFuture<Void> start() {
        return listen(requestedPort);
    }

    private CompletableFuture<Void> listen(int port) {
        server = vertx.createHttpServer(new HttpServerOptions().setHost(host).setPort(port))
                .requestHandler(this::handle);
        stepTimer = vertx.setPeriodic(settings.stepInterval().toMillis(), step -> step());
        return server.listen().<Void>mapEmpty().toCompletionStage().toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop(Duration gracePeriod) {
        vertx.cancelTimer(stepTimer);
        return server.close().toCompletionStage().toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(ExecutionCounters.PATH)) {
            request.response().end(counters.toJson().toBuffer());
            return;
        }
        request.body().onSuccess(body -> {
            String deadly = crashText;
            if (deadly != null && body.toString().contains(deadly)) {
                crash();
            } else {
                startGeneration(request, body.toJsonObject());
            }
        });
    }

    /** Closes the listener and all connections, as the end of a process does, and starts again later. */
    private void crash() {
        crashes.incrementAndGet();
        int port = server.actualPort();
        vertx.cancelTimer(stepTimer);
        server.close();
        vertx.setTimer(RESTART_MILLIS, timer -> listen(port));
    }

    private synchronized void startGeneration(HttpServerRequest request, JsonObject body) {
        requestCount++;
        boolean chat = request.path().endsWith("/chat/completions");
        String requestId = request.getHeader("X-Request-Id");
        String id = requestId == null ? "cmpl-" + requestCount : requestId;
        int lengthTokens = body.getInteger("max_tokens", settings.defaultMaxTokens());
        boolean failsHalfway = (requestCount * GOLDEN_RATIO_FRACTION) % 1.0 < settings.failureFraction();
        HttpServerResponse response = request.response();
        response.setChunked(true);
        response.putHeader("Content-Type", "text/event-stream");
        Generation generation = new Generation(id, chat, lengthTokens, failsHalfway, response);
        counters.recordStart(id);
        response.closeHandler(closed -> cancel(generation));
        response.exceptionHandler(error -> cancel(generation));
        vertx.setTimer(Math.max(1, settings.timeToFirstToken().toMillis()), ready -> addToBatch(generation));
    }

    private synchronized void addToBatch(Generation generation) {
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

    private synchronized void cancel(Generation generation) {
        if (!generation.ended) {
            generation.end(false);
        }
    }

    /** A generation in progress; guarded by the monitor of the engine. */
    private final class Generation {
        private final String id;
        private final boolean chat;
        private final int lengthTokens;
        private final boolean failsHalfway;
        private final HttpServerResponse response;
        private int generated;
        private boolean ended;

        Generation(String id, boolean chat, int lengthTokens, boolean failsHalfway, HttpServerResponse response) {
            this.id = id;
            this.chat = chat;
            this.lengthTokens = lengthTokens;
            this.failsHalfway = failsHalfway;
            this.response = response;
        }

        void step() {
            if (ended || response.writeQueueFull()) {
                return;
            }
            if (failsHalfway && generated >= lengthTokens / 2) {
                end(false);
                response.reset();
                return;
            }
            boolean last = generated + 1 >= lengthTokens;
            response.write(chunk(last));
            generated++;
            counters.recordToken();
            if (last) {
                end(true);
                response.end(DONE);
            }
        }

        void end(boolean completed) {
            ended = true;
            running.remove(this);
            counters.recordEnd(completed);
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

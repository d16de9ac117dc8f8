package coriandersill.bench.path;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import coriandersill.standins.engine.EngineSettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Opens streams on which the engines generate no token, and prints the heap per stream. The figure covers entry,
 * sidecar, engine stand-in and caller, which share the process, and is thus an upper bound for each of them.
 */
public final class IdleStreams {
    private static final int STREAMS = 2_000;
    private static final int MAX_TOKENS = 1_000;
    /** Longer than the measurement, so that no token is generated. */
    private static final Duration STEP_INTERVAL = Duration.ofMinutes(5);

    private IdleStreams() {}

    /** Runs the measurement and prints the result; takes no arguments. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        Logger.getLogger("").setLevel(Level.SEVERE);
        PrintStream out = System.out;
        EngineSettings engine = EngineSettings.fast().withStepInterval(STEP_INTERVAL);
        EmbeddedCluster cluster = EmbeddedCluster.create(
                new EmbeddedClusterSettings(3, 2, 8, 1, engine, Duration.ofMillis(2), 4_000, 0).withoutColdStart());
        cluster.start().join();
        cluster.whenReady().join();
        Vertx vertx = Vertx.vertx();
        HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(STREAMS));
        JsonObject body = new JsonObject()
                .put("model", "scribe")
                .put("prompt", "x")
                .put("max_tokens", MAX_TOKENS)
                .put("stream", true);
        long before = usedHeap();
        for (int i = 0; i < STREAMS; i++) {
            client.request(HttpMethod.POST, cluster.entryPort(i % 2), "127.0.0.1", "/v1/completions")
                    .compose(request -> request.putHeader("Authorization", "Bearer " + cluster.apiKey())
                            .send(body.toBuffer()))
                    .onSuccess(response -> response.handler(part -> {}));
        }
        while (cluster.engines().stream()
                        .mapToInt(standIn -> standIn.counters().running())
                        .sum()
                < STREAMS) {
            new CompletableFuture<Void>()
                    .completeOnTimeout(null, 50, TimeUnit.MILLISECONDS)
                    .join();
        }
        out.println("heap_bytes_per_idle_stream_whole_path: " + (usedHeap() - before) / STREAMS);
        System.exit(0);
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

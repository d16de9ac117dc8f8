package coriandersill.bench.path;

import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.lang.management.ManagementFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Opens streams on the completions form and times their tokens.
 *
 * <p>An engine gives every running generation a token at each step, so the gap between two tokens of a stream is the
 * step; how far a gap differs from the stream's own mean gap is how late the path made a token.
 */
final class StreamLoad {
    private static final long LARGEST_MICROS = 60_000_000;
    private static final int DIGITS = 3;

    private final int[] ports;
    private final String apiKey;
    private final int tokens;
    private final Histogram firstToken = new ConcurrentHistogram(LARGEST_MICROS, DIGITS);
    private final Histogram late = new ConcurrentHistogram(LARGEST_MICROS, DIGITS);
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicLong received = new AtomicLong();

    StreamLoad(int[] ports, String apiKey, int tokens) {
        this.ports = ports;
        this.apiKey = apiKey;
        this.tokens = tokens;
    }

    /**
     * What a run showed.
     *
     * @param failed streams that did not end whole
     * @param firstToken time to the first token in microseconds
     * @param late how far gaps between tokens exceeded the stream's mean gap, in microseconds
     * @param tokensPerSecond tokens received a second over the whole run
     * @param cpuMicrosPerToken processor time of the whole process per token, in microseconds
     */
    record Result(int failed, Histogram firstToken, Histogram late, double tokensPerSecond, double cpuMicrosPerToken) {}

    Result run(int streams) {
        Vertx vertx = Vertx.vertx();
        HttpClient client =
                vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(streams + 10));
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpu = system.getProcessCpuTime();
        long start = System.nanoTime();
        CompletableFuture<?>[] all = new CompletableFuture<?>[streams];
        for (int i = 0; i < streams; i++) {
            all[i] = stream(client, ports[i % ports.length]);
        }
        CompletableFuture.allOf(all).join();
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpuMicros = (system.getProcessCpuTime() - cpu) / 1e3;
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return new Result(
                failed.get(), firstToken, late, received.get() / seconds, cpuMicros / Math.max(1, received.get()));
    }

    private CompletableFuture<Void> stream(HttpClient client, int port) {
        JsonObject body = new JsonObject()
                .put("model", "scribe")
                .put("prompt", "x" + port)
                .put("max_tokens", tokens)
                .put("stream", true);
        CompletableFuture<Void> done = new CompletableFuture<>();
        long sent = System.nanoTime();
        client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/completions")
                .compose(request ->
                        request.putHeader("Authorization", "Bearer " + apiKey).send(body.toBuffer()))
                .onSuccess(response -> read(response, sent, done))
                .onFailure(error -> fail(done));
        return done;
    }

    private void fail(CompletableFuture<Void> done) {
        failed.incrementAndGet();
        done.complete(null);
    }

    private void read(HttpClientResponse response, long sent, CompletableFuture<Void> done) {
        long[] times = new long[tokens];
        int[] count = {0};
        RecordParser events = RecordParser.newDelimited("\n\n", response);
        events.exceptionHandler(error -> fail(done));
        events.handler(event -> {
            if (event.length() > 20 && count[0] < tokens) {
                times[count[0]++] = System.nanoTime();
            }
        });
        events.endHandler(end -> {
            received.addAndGet(count[0]);
            if (count[0] == tokens) {
                record(times, sent);
                done.complete(null);
            } else {
                fail(done);
            }
        });
    }

    private void record(long[] times, long sent) {
        firstToken.recordValue((times[0] - sent) / 1_000);
        // The first gap runs from the engine's first token to its next step and is shorter than a step.
        long mean = (times[tokens - 1] - times[1]) / (tokens - 2);
        for (int i = 2; i < tokens; i++) {
            late.recordValue(Math.max(0, times[i] - times[i - 1] - mean) / 1_000);
        }
    }
}

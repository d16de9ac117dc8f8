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
 * Opens streams on the completions API and records the times of their tokens.
 *
 * <p>An engine generates one token for each running generation in every step, so that the gap between two tokens of a
 * stream should be one step. The lateness of a token is the time by which the gap before it exceeds the mean gap of its
 * stream.
 */
final class StreamLoad {
    private static final long MAX_RECORDED_MICROS = 60_000_000;
    /** Shorter events, such as the final {@code data: [DONE]}, carry no token. */
    private static final int MIN_TOKEN_EVENT_BYTES = 21;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final int[] ports;
    private final String apiKey;
    private final int tokensPerStream;
    private final Histogram firstTokenMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram latenessMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final AtomicInteger failedStreams = new AtomicInteger();
    private final AtomicLong receivedTokens = new AtomicLong();

    StreamLoad(int[] ports, String apiKey, int tokens) {
        this.ports = ports;
        this.apiKey = apiKey;
        this.tokensPerStream = tokens;
    }

    /**
     * The results of a run.
     *
     * @param failedStreams the number of streams that did not deliver all tokens
     * @param firstTokenMicros time to the first token in microseconds
     * @param latenessMicros the time by which gaps between tokens exceeded the mean gap of their stream, in
     *     microseconds
     * @param tokensPerSecond the number of tokens received per second over the whole run
     * @param cpuMicrosPerToken the CPU time of the whole process per token, in microseconds
     */
    record Result(
            int failedStreams,
            Histogram firstTokenMicros,
            Histogram latenessMicros,
            double tokensPerSecond,
            double cpuMicrosPerToken) {}

    Result run(int streams) {
        Vertx vertx = Vertx.vertx();
        HttpClient client =
                vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(streams + 10));
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpuBeforeNanos = system.getProcessCpuTime();
        long startNanos = System.nanoTime();
        CompletableFuture<?>[] streamEnds = new CompletableFuture<?>[streams];
        for (int i = 0; i < streams; i++) {
            streamEnds[i] = stream(client, ports[i % ports.length]);
        }
        CompletableFuture.allOf(streamEnds).join();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double cpuMicros = (system.getProcessCpuTime() - cpuBeforeNanos) / 1e3;
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return new Result(
                failedStreams.get(),
                firstTokenMicros,
                latenessMicros,
                receivedTokens.get() / seconds,
                cpuMicros / Math.max(1, receivedTokens.get()));
    }

    private CompletableFuture<Void> stream(HttpClient client, int port) {
        JsonObject body = new JsonObject()
                .put("model", "scribe")
                .put("prompt", "x" + port)
                .put("max_tokens", tokensPerStream)
                .put("stream", true);
        CompletableFuture<Void> done = new CompletableFuture<>();
        long sentAtNanos = System.nanoTime();
        client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/completions")
                .compose(request ->
                        request.putHeader("Authorization", "Bearer " + apiKey).send(body.toBuffer()))
                .onSuccess(response -> read(response, sentAtNanos, done))
                .onFailure(error -> fail(done));
        return done;
    }

    private void fail(CompletableFuture<Void> done) {
        failedStreams.incrementAndGet();
        done.complete(null);
    }

    private void read(HttpClientResponse response, long sentAtNanos, CompletableFuture<Void> done) {
        long[] tokenTimesNanos = new long[tokensPerStream];
        int[] count = {0};
        RecordParser events = RecordParser.newDelimited("\n\n", response);
        events.exceptionHandler(error -> fail(done));
        events.handler(event -> {
            if (event.length() >= MIN_TOKEN_EVENT_BYTES && count[0] < tokensPerStream) {
                tokenTimesNanos[count[0]++] = System.nanoTime();
            }
        });
        events.endHandler(end -> {
            receivedTokens.addAndGet(count[0]);
            if (count[0] == tokensPerStream) {
                record(tokenTimesNanos, sentAtNanos);
                done.complete(null);
            } else {
                fail(done);
            }
        });
    }

    private void record(long[] tokenTimesNanos, long sentAtNanos) {
        firstTokenMicros.recordValue((tokenTimesNanos[0] - sentAtNanos) / 1_000);
        // Excludes the first gap: the first token is generated between two steps, so that this gap is shorter.
        long meanGapNanos = (tokenTimesNanos[tokensPerStream - 1] - tokenTimesNanos[1]) / (tokensPerStream - 2);
        for (int i = 2; i < tokensPerStream; i++) {
            latenessMicros.recordValue(Math.max(0, tokenTimesNanos[i] - tokenTimesNanos[i - 1] - meanGapNanos) / 1_000);
        }
    }
}

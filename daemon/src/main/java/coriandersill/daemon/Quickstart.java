package coriandersill.daemon;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import coriandersill.idempotency.IdempotencyKey;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Starts an embedded cluster and streams one generation to the terminal; the program behind {@code bin/quickstart}. */
public final class Quickstart {
    private static final int FIRST_ENTRY_PORT = 8_180;

    private Quickstart() {}

    /** Runs the quickstart until it is interrupted or, with {@code --once}, until one generation has ended. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) throws InterruptedException {
        boolean once = List.of(arguments).contains("--once");
        PrintStream out = System.out;
        Logger.getLogger("").setLevel(Level.SEVERE);
        EmbeddedCluster cluster =
                EmbeddedCluster.create(EmbeddedClusterSettings.small().withPort(once ? 0 : FIRST_ENTRY_PORT));
        cluster.start().join();
        cluster.whenReady().join();
        out.println(
                "Two entries, three sidecars, their upstreams and a platform are running. Streaming one generation:");
        long tokens = generate(cluster, out).join();
        out.println();
        out.println("Received " + tokens + " tokens.");
        if (once) {
            cluster.stop(Duration.ofSeconds(2)).join();
            return;
        }
        printCommands(cluster, out);
        out.println("Press Ctrl-C to stop.");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> cluster.stop(Duration.ofSeconds(2))
                .join()));
        new CountDownLatch(1).await();
    }

    private static void printCommands(EmbeddedCluster cluster, PrintStream out) {
        String entry = "http://127.0.0.1:" + cluster.entryPort(0);
        String header = " -H 'Authorization: Bearer " + cluster.apiKey() + "'";
        String key = IdempotencyKey.generate(Instant.now(), new SecureRandom()).toString();
        out.println("Example calls; the idempotency key makes it safe to repeat the booking, which runs only once:");
        out.println("  curl -N " + entry + "/v1/completions" + header
                + " -d '{\"model\":\"scribe\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}'");
        out.println("  curl " + entry + "/services/ledger/orders/7" + header);
        out.println("  curl " + entry + "/services/ledger/bookings" + header + " -H 'Idempotency-Key: " + key
                + "' -d '{\"crier\":1}'");
        out.println("List the upstreams as an operator:");
        out.println("  bin/coriandersill upstreams --platform 127.0.0.1:" + cluster.platformPort());
    }

    private static CompletableFuture<Long> generate(EmbeddedCluster cluster, PrintStream out) {
        CompletableFuture<Long> tokenCount = new CompletableFuture<>();
        Vertx vertx = Vertx.vertx();
        HttpClient client = vertx.createHttpClient();
        JsonObject body = new JsonObject()
                .put("model", "scribe")
                .put("prompt", "Tell of the market day.")
                .put("max_tokens", 24)
                .put("stream", true);
        client.request(HttpMethod.POST, cluster.entryPort(0), "127.0.0.1", "/v1/completions")
                .compose(request -> request.putHeader("Authorization", "Bearer " + cluster.apiKey())
                        .send(body.toBuffer()))
                .onFailure(tokenCount::completeExceptionally)
                .onSuccess(response -> {
                    long[] tokens = {0};
                    RecordParser events = RecordParser.newDelimited("\n\n", response);
                    events.handler(event -> tokens[0] += print(event, out));
                    events.endHandler(end -> tokenCount.complete(tokens[0]));
                });
        return tokenCount.whenComplete((tokens, error) -> vertx.close());
    }

    /** Prints the text of one event and returns the number of tokens in it: 1, or 0 for the end of the stream. */
    private static int print(Buffer event, PrintStream out) {
        String data = event.toString().substring("data: ".length());
        if (data.equals("[DONE]")) {
            return 0;
        }
        JsonObject json = new JsonObject(data);
        out.print(json.getJsonArray("choices").getJsonObject(0).getString("text"));
        out.flush();
        return 1;
    }
}

package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import io.vertx.core.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against incomplete or reordered generations, calls that reach the wrong service and cancelled calls that keep
 * running: calls are sent over real sockets to a cluster of three zones with two entries, eight engines and three plain
 * upstreams.
 */
final class EndToEndTest {
    private static final EmbeddedCluster CLUSTER = EmbeddedCluster.create(EmbeddedClusterSettings.production());

    @BeforeAll
    static void start() {
        CLUSTER.start().join();
        CLUSTER.whenReady().join();
    }

    @AfterAll
    static void stop() {
        CLUSTER.stop(Duration.ofSeconds(1)).join();
    }

    private static int openCalls(int entry) {
        return CLUSTER.entries().get(entry).status().getInteger("open_calls");
    }

    private static List<String> words(int count) {
        return IntStream.range(0, count).mapToObj(i -> " w" + i).toList();
    }

    @ParameterizedTest
    @EnumSource(
            value = HttpVersion.class,
            names = {"HTTP_1_1", "HTTP_2"})
    void aGenerationArrivesCompletelyAndInOrder(HttpVersion version) {
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), version);
        CallerClient.StreamedResponse streamed =
                caller.stream(CLUSTER.entryPort(0), "scribe", 700).join();
        caller.close();
        assertThat(streamed.status(), is(200));
        assertThat(streamed.texts(), is(words(700)));
        assertThat(streamed.done(), is(true));
    }

    @Test
    void concurrentGenerationsThroughBothEntriesArriveCompletely() {
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
        List<CompletableFuture<CallerClient.StreamedResponse>> calls = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            calls.add(caller.stream(CLUSTER.entryPort(i % 2), "scribe", 10 + i % 50));
        }
        for (int i = 0; i < 200; i++) {
            assertThat("call " + i, calls.get(i).join().texts(), is(words(10 + i % 50)));
        }
        caller.close();
    }

    @Test
    void aNonStreamedGenerationReturnsItsTextAndUsage() {
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
        CallerClient.Response response = caller.call(
                        CLUSTER.entryPort(1),
                        "POST",
                        "/v1/chat/completions",
                        Map.of(),
                        "{\"model\":\"scribe\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}")
                .join();
        caller.close();
        assertThat(response.status(), is(200));
        assertThat(response.body(), containsString("\"content\":\" w0 w1 w2\""));
        assertThat(response.json().getJsonObject("usage").getInteger("completion_tokens"), is(3));
    }

    @Test
    void aLookupReachesThePlainServiceByItsPath() {
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
        CallerClient.Response response = caller.call(
                        CLUSTER.entryPort(0), "GET", "/services/ledger/orders/7?full=1", Map.of(), "")
                .join();
        caller.close();
        assertThat(response.status(), is(200));
        assertThat(response.json().getString("path"), is("/orders/7"));
    }

    @Test
    void aNonRepeatableCallWithoutAnIdempotencyKeyIsRejected() {
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
        CallerClient.Response response = caller.call(
                        CLUSTER.entryPort(0), "POST", "/services/ledger/bookings", Map.of(), "{}")
                .join();
        caller.close();
        assertThat(response.status(), is(400));
        assertThat(List.of(response.errorKind(), response.ran()), contains("idempotency_key_required", "no"));
    }

    @Test
    void aCallerThatDisconnectsCancelsTheGenerationAtItsEngine() {
        CallerClient caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
        long cancelledBefore = CLUSTER.engines().stream()
                .mapToLong(engine -> engine.counters().cancelled())
                .sum();
        CompletableFuture<CallerClient.StreamedResponse> call = caller.stream(CLUSTER.entryPort(0), "scribe", 100_000);
        Await.until(() ->
                CLUSTER.engines().stream().anyMatch(engine -> engine.counters().running() > 0));
        caller.close();
        Await.until(() -> CLUSTER.engines().stream()
                        .mapToLong(engine -> engine.counters().cancelled())
                        .sum()
                > cancelledBefore);
        // The client may not report its closed connection, but the stream must not have ended normally.
        assertThat(
                call.isCompletedExceptionally()
                        || !call.isDone()
                        || !call.join().done(),
                is(true));
        Await.until(() -> openCalls(0) == 0);
        assertThat(openCalls(0), is(0));
    }
}

package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import coriandersill.standins.engine.EngineSettings;
import io.vertx.core.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against calls whose connection a stopping entry closes without an answer. */
final class EntryDrainTest {
    private static final int CALL_COUNT = 40;

    /** Far longer than the drain. */
    private static final Duration RESPONSE_DELAY = Duration.ofSeconds(40);

    /** Guards against closing connections before the calls are answered, and against telling that they have run. */
    @Test
    void callsThatAreOpenAtTheDrainDeadlineAreAnswered() throws Exception {
        EmbeddedCluster cluster = EmbeddedCluster.create(
                new EmbeddedClusterSettings(2, 2, 2, 1, EngineSettings.fast(), RESPONSE_DELAY, 2 * CALL_COUNT, 0));
        cluster.start().join();
        cluster.whenReady().join();
        CallerClient caller = new CallerClient(cluster.apiKey(), HttpVersion.HTTP_1_1);
        List<CompletableFuture<CallerClient.Response>> calls = new ArrayList<>();
        for (int i = 0; i < CALL_COUNT; i++) {
            calls.add(caller.call(cluster.entryPort(0), "GET", "/services/ledger/orders/" + i, Map.of(), ""));
        }
        Await.until(() -> cluster.entries().get(0).status().getInteger("open_calls") == CALL_COUNT);

        cluster.entries().get(0).stop(Duration.ofMillis(300)).get(10, TimeUnit.SECONDS);

        List<Integer> statuses = new ArrayList<>();
        List<String> ran = new ArrayList<>();
        for (CompletableFuture<CallerClient.Response> call : calls) {
            statuses.add(call.get(10, TimeUnit.SECONDS).status());
            ran.add(call.get().ran());
        }
        assertThat(statuses, everyItem(is(greaterThanOrEqualTo(500))));
        assertThat("an upstream has it, and may or may not run it", ran, everyItem(is("unknown")));
        caller.close();
        // The second stop of the first entry joins its first one.
        cluster.stop(Duration.ofSeconds(1)).join();
    }
}

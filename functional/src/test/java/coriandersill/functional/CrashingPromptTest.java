package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import coriandersill.standins.engine.EngineStandIn;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against prompts that crash one engine after another through the product's own entries and sidecars. */
final class CrashingPromptTest {
    private static final String DEADLY_MESSAGE = "the message that ends engines";
    private static final EmbeddedCluster CLUSTER = EmbeddedCluster.create(EmbeddedClusterSettings.small());

    private final HttpClient client = HttpClient.newHttpClient();

    @BeforeAll
    static void start() {
        CLUSTER.start().join();
        CLUSTER.whenReady().join();
        CLUSTER.engines().forEach(engine -> engine.crashOn(DEADLY_MESSAGE));
    }

    @AfterAll
    static void stop() {
        CLUSTER.stop(Duration.ofSeconds(1)).join();
    }

    /** Guards against an entry that repeats the crashes that it, or another entry, has seen. */
    @Test
    void afterSomeCrashesBothEntriesRefuseTheMessageAndServeOthers() throws Exception {
        for (int i = 0; i < 20 && !isRefused(0); i++) {
            TimeUnit.MILLISECONDS.sleep(500);
        }
        assertThat(isRefused(0), is(true));
        awaitRefusal(1);
        int crashes = crashes();

        for (int i = 0; i < 10; i++) {
            assertThat(isRefused(i % 2), is(true));
        }

        assertThat(crashes(), is(crashes));
        assertThat(crashes, is(lessThan(10)));
        TimeUnit.MILLISECONDS.sleep(1_000);
        assertThat(post(0, "another message").statusCode(), is(200));
    }

    private void awaitRefusal(int entry) throws Exception {
        for (int i = 0; i < 20 && !isRefused(entry); i++) {
            TimeUnit.MILLISECONDS.sleep(500);
        }
        assertThat(isRefused(entry), is(true));
    }

    private boolean isRefused(int entry) throws Exception {
        HttpResponse<String> response = post(entry, DEADLY_MESSAGE);
        return response.statusCode() == 503
                && new JsonObject(response.body())
                        .getJsonObject("error")
                        .getString("kind")
                        .equals("quarantined");
    }

    private static int crashes() {
        return CLUSTER.engines().stream().mapToInt(EngineStandIn::crashes).sum();
    }

    private HttpResponse<String> post(int entry, String firstMessage) throws Exception {
        JsonObject body = new JsonObject()
                .put("model", "scribe")
                .put("max_tokens", 4)
                .put(
                        "messages",
                        new JsonArray()
                                .add(new JsonObject().put("role", "system").put("content", firstMessage))
                                .add(new JsonObject().put("role", "user").put("content", "a question")));
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + CLUSTER.entryPort(entry) + "/v1/chat/completions"))
                .timeout(Duration.ofSeconds(30))
                .header("Authorization", "Bearer " + CLUSTER.apiKey())
                .POST(HttpRequest.BodyPublishers.ofString(body.encode()))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}

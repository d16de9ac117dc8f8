package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import coriandersill.idempotency.IdempotencyKey;
import io.vertx.core.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against bookings that run twice or run although they are reported as not run: keys are repeated, used
 * concurrently through both entries, reused, expired and sent while the log is down, and the upstreams' execution
 * counters are checked (cases O4, O8, O9 and O10 in docs/design/idempotency.md).
 */
final class IdempotencyTest {
    private static final EmbeddedCluster CLUSTER = EmbeddedCluster.create(EmbeddedClusterSettings.small());
    private static final Random RANDOM = new Random(7);

    /** Keys are retained for about a day. */
    private static final Duration LONGER_THAN_RETENTION = Duration.ofDays(3);

    private static final String BOOKINGS = "/services/ledger/bookings";
    private static CallerClient caller;

    @BeforeAll
    static void start() {
        CLUSTER.start().join();
        CLUSTER.whenReady().join();
        caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
    }

    @AfterEach
    void restoreLog() {
        CLUSTER.log().faults().setDown(false);
    }

    @AfterAll
    static void stop() {
        caller.close();
        CLUSTER.stop(Duration.ofSeconds(1)).join();
    }

    private static String key(Instant generatedAt) {
        return IdempotencyKey.generate(generatedAt, RANDOM).toString();
    }

    private static CompletableFuture<CallerClient.Response> book(int entry, String key, String body) {
        return caller.call(CLUSTER.entryPort(entry), "POST", BOOKINGS, Map.of("Idempotency-Key", key), body);
    }

    private static int executions(String key) {
        return CLUSTER.plainUpstreams().stream()
                .mapToInt(plain -> plain.counters().executions().getOrDefault(key, 0))
                .sum();
    }

    @Test
    void aBookingRunsOnceAndItsRepeatThroughAnotherEntryReceivesTheFirstResponse() {
        String key = key(Instant.now());
        CallerClient.Response original = book(0, key, "{\"seat\":1}").join();
        assertThat(original.body(), original.status(), is(200));
        // The other entry responds with 409 until it has read the outcome from the log.
        CallerClient.Response repeat =
                Await.untilValue(() -> book(1, key, "{\"seat\":1}").join(), response -> response.status() == 200);
        assertThat(repeat.body(), is(original.body()));
        assertThat(repeat.headers().get("idempotent-replayed"), is("true"));
        assertThat(executions(key), is(1));
    }

    @Test
    void concurrentBookingsWithOneKeyThroughBothEntriesRunOnce() {
        for (int round = 0; round < 10; round++) {
            String key = key(Instant.now());
            List<CompletableFuture<CallerClient.Response>> calls = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                calls.add(book(i % 2, key, "{}"));
            }
            for (CompletableFuture<CallerClient.Response> call : calls) {
                // 409: another call with the key is in progress.
                assertThat(call.join().body(), call.join().status(), anyOf(is(200), is(409)));
            }
            assertThat("round " + round, executions(key), is(1));
        }
    }

    @Test
    void aKeyThatIsReusedWithAnotherBodyIsRejected() {
        String key = key(Instant.now());
        assertThat(book(0, key, "{\"seat\":1}").join().status(), is(200));
        CallerClient.Response other = book(0, key, "{\"seat\":2}").join();
        assertThat(other.status(), is(422));
        assertThat(other.errorKind(), is("idempotency_key_reused"));
        assertThat(executions(key), is(1));
    }

    @Test
    void aKeyOlderThanTheRetentionWindowIsRejectedAndDoesNotRun() {
        String key = key(Instant.now().minus(LONGER_THAN_RETENTION));
        CallerClient.Response response = book(0, key, "{}").join();
        assertThat(response.errorKind(), is("idempotency_key_expired"));
        assertThat(executions(key), is(0));
    }

    @Test
    void whileTheLogIsDownBookingsAreRejectedAsNotRunButLookupsAndGenerationsAreServed() {
        CLUSTER.log().faults().setDown(true);
        String key = key(Instant.now());
        CallerClient.Response booking = book(0, key, "{}").join();
        assertThat(booking.status(), is(503));
        assertThat(booking.errorKind(), is("log_unavailable"));
        assertThat(booking.ran(), is("no"));
        assertThat(executions(key), is(0));
        CallerClient.Response lookup = caller.call(
                        CLUSTER.entryPort(0), "GET", "/services/ledger/orders/1", Map.of(), "")
                .join();
        assertThat(lookup.status(), is(200));
        assertThat(
                caller.stream(CLUSTER.entryPort(1), "scribe", 5).join().texts().size(), is(5));
        CLUSTER.log().faults().setDown(false);
        CallerClient.Response later =
                Await.untilValue(() -> book(0, key, "{}").join(), response -> response.status() == 200);
        assertThat(later.body(), later.status(), not(is(503)));
        assertThat(executions(key), is(1));
    }
}

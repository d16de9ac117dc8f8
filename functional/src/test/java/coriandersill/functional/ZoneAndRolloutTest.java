package coriandersill.functional;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import coriandersill.cli.Tool;
import coriandersill.core.VersionName;
import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.json.JsonArray;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that are cut off or still sent to a zone taken out of service, and against a rollback that is
 * lost or repeated: operators' commands run through the command-line tool against complete daemons (case V8 in
 * docs/design/rollouts.md).
 */
final class ZoneAndRolloutTest {
    private static final EmbeddedCluster CLUSTER = EmbeddedCluster.create(EmbeddedClusterSettings.small());
    private static final int ZONE_B_ENGINE_INDEX = 1;
    private static CallerClient caller;

    private record ToolResult(int status, String text) {}

    @BeforeAll
    static void start() {
        CLUSTER.start().join();
        // Engines are assigned to the two zones in turn, so this one joins zone-a.
        CLUSTER.addEngine(2, VersionName.of("v2")).join();
        CLUSTER.whenReady().join();
        caller = new CallerClient(CLUSTER.apiKey(), HttpVersion.HTTP_1_1);
    }

    @AfterAll
    static void stop() {
        caller.close();
        CLUSTER.stop(Duration.ofSeconds(1)).join();
    }

    private static ToolResult runTool(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--platform", "127.0.0.1:" + CLUSTER.platformPort()));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int status = Tool.run(print, print, all.toArray(String[]::new));
        return new ToolResult(status, bytes.toString(StandardCharsets.UTF_8));
    }

    private static long startedCalls(int engine) {
        return CLUSTER.engines().get(engine).counters().started();
    }

    private static void assertGenerationsAreServed(int count) {
        for (int i = 0; i < count; i++) {
            assertThat(
                    caller.stream(CLUSTER.entryPort(i % 2), "scribe", 5)
                            .join()
                            .texts()
                            .size(),
                    is(5));
        }
    }

    @Test
    void aZoneTakenOutOfServiceGetsNoNewCallsCompletesRunningOnesAndServesAgainOnceBackInService() {
        CompletableFuture<CallerClient.StreamedResponse> running = caller.stream(CLUSTER.entryPort(0), "scribe", 600);
        Await.until(() -> CLUSTER.engines().get(0).counters().running()
                        + CLUSTER.engines().get(1).counters().running()
                > 0);
        ToolResult takenOut = runTool("zone", "out", "zone-b", "--reason", "maintenance", "--wait");
        assertThat(takenOut.text(), takenOut.status(), is(0));
        assertThat(takenOut.text(), containsString("in force"));
        long startedBefore = startedCalls(ZONE_B_ENGINE_INDEX);
        assertGenerationsAreServed(20);
        assertThat(
                "calls started in the zone after it was taken out of service",
                startedCalls(ZONE_B_ENGINE_INDEX) - startedBefore,
                is(0L));
        assertThat(running.join().texts().size(), is(600));
        assertThat(runTool("zone", "out", "zone-b").text(), containsString("nothing differs"));
        assertThat(runTool("zone", "in", "zone-b", "--wait").status(), is(0));
        Await.until(() -> {
            assertGenerationsAreServed(10);
            return startedCalls(ZONE_B_ENGINE_INDEX) > startedBefore;
        });
        ToolResult status = runTool("zone", "status", "--json");
        assertThat(new JsonArray(status.text()).size(), is(2));
    }

    @Test
    void aDeclaredRolloutIsRolledBackByItsOperatorAndTheRollbackIsRecordedOnce() {
        ToolResult started =
                runTool("rollout", "start", "scribe", "--to", "v2", "--within", "PT1H", "--first-share", "0.01");
        assertThat(started.text(), started.status(), is(0));
        Await.until(() -> runTool("rollout", "status", "scribe").text().contains("DECLARED"));
        // The service has no version of this name.
        assertThat(runTool("rollout", "start", "scribe", "--to", "none").status(), is(2));
        ToolResult rolledBack = runTool("rollout", "rollback", "scribe", "--reason", "new version no longer wanted");
        assertThat(rolledBack.text(), rolledBack.status(), is(0));
        Await.until(() -> runTool("rollout", "status", "scribe").text().contains("ROLLED_BACK"));
        String statusText = runTool("rollout", "status", "scribe").text();
        assertThat(statusText, statusText.split("ROLLED_BACK", -1).length - 1, is(1));
        assertThat(runTool("config", "history").text(), containsString("new version no longer wanted"));
        assertGenerationsAreServed(4);
    }

    @Test
    void anUnknownZoneOrDirectoryGivesExitCode2AndListCommandsPrintTheirItems() {
        assertThat(runTool("zone", "out", "nowhere").status(), is(2));
        assertThat(runTool("config", "validate", "no/such/directory").status(), is(2));
        assertThat(runTool("upstreams").text(), containsString("scribe"));
        assertThat(runTool("workspaces").text(), containsString("quickstart"));
        assertThat(runTool("events", "402").text(), containsString("OUTCOME_UNKNOWN"));
    }
}

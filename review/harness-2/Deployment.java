import java.io.IOException;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: the store, workers, entries and the operator. */
final class Deployment implements AutoCloseable {
    /** What differs in the settings of the sites. */
    enum Site {
        SILVERBEND_OPS(430, 58, 9.4, Bounds.SMALL),
        AWAJ_HUB(280, 54, 5.9, Bounds.SMALL),
        AWAJ_HUB_GROWN(430, 96, 5.7, Bounds.GROWN);

        private final int memoryMegabytes;
        private final int retryBudgetExtra;
        private final double reuseWindowSeconds;
        private final Bounds bounds;

        Site(int memoryMegabytes, int retryBudgetExtra, double reuseWindowSeconds, Bounds bounds) {
            this.memoryMegabytes = memoryMegabytes;
            this.retryBudgetExtra = retryBudgetExtra;
            this.reuseWindowSeconds = reuseWindowSeconds;
            this.bounds = bounds;
        }

        int contactMillis() {
            return bounds.contactMillis();
        }
    }

    /** The bounds that are the same for all small sites, and for all grown ones. */
    private record Bounds(
            int contactMillis, int acknowledgeMillis, int catchUpSeconds, int drainMillis, int configApplyMillis,
            int outerBoundMillis, int recoverySeconds, int passTimeMillis) {
        private static final Bounds SMALL = new Bounds(3_000, 4_000, 4, 2_000, 2_000, 5_000, RECOVERY_SECONDS, 120);
        private static final Bounds GROWN = new Bounds(4_000, 6_000, 6, 3_000, 3_000, 6_000, 15, 200);
    }

    static final String MODEL_SERVICE = "darkroom";
    static final String PLAIN_SERVICE = "mailroom";
    static final String HOST = "lab.example";
    static final String KEY = "k3yofthefirsthouse00";
    static final String TENANT = "house-1";
    static final double EXPOSURE_FRACTION = 0.1;
    static final int EXPOSURE_TOLERANCE = 50;
    static final int RECOVERY_SECONDS = 12;
    static final String[] ZONES = {"a", "b", "c"};
    private static final int READY_SECONDS = 20;

    final Recorder recorder;
    final Store store;
    final List<Entry> entries = new ArrayList<>();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    final Balancer balancer;
    private final Path directory;
    private int configurationVersion;
    private String configuration;

    Deployment(Path root, Recorder recorder, Site site, int entryCount) throws IOException {
        this.recorder = recorder;
        this.directory = Files.createTempDirectory("review");
        this.store = new Store("127.0.0.1");
        putConfiguration(1_000);
        for (int i = 0; i < entryCount; i++) {
            String zone = ZONES[i % ZONES.length];
            entries.add(new Entry(
                    root, directory, recorder, site, "edge-" + zone + "-" + (i + 1), "127.0.0." + (11 + i), zone,
                    "127.0.0.1:" + store.port()));
        }
        this.balancer = new Balancer(entries);
        // Ends the processes also if this program is ended before its time.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Entry::close)));
    }

    /** The operator writes the next version; the plain routes get another timeout. */
    void putConfiguration(int plainTimeoutMillis) {
        configurationVersion += 3;
        configuration = "{\"version\":" + configurationVersion + ",\"routes\":["
                + route("peek", "/peek/", "idempotent", PLAIN_SERVICE, plainTimeoutMillis, 193, 2, 2, "")
                + "," + route("post", "/post/", "non_idempotent", PLAIN_SERVICE, plainTimeoutMillis, 193, 2, 1, "")
                + "," + route("notes", "/notes/", "streaming", MODEL_SERVICE, 39_000, 1_800, 1, 1,
                        ",\"sticky\":true,\"resumable\":false,\"target_gap_ms\":180")
                + "],\"services\":[{\"name\":\"" + PLAIN_SERVICE + "\",\"health_path\":\"/healthcheck\"},{\"name\":\""
                + MODEL_SERVICE + "\",\"health_path\":\"/healthcheck\",\"cold_per_s\":47,\"engine\":{"
                + "\"kv_cache_tokens\":34290,\"moves\":true,\"kv_token_bytes\":163840,\"link_mbps\":24000,\"stride\":4}}],"
                + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + KEY + "\"]}],\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
        recorder.line("operator", "configuration " + configurationVersion + " at offset " + writeConfiguration());
    }

    /** Writes the newest configuration once more. */
    long writeConfiguration() {
        return store.put("keyed.op", "config", configuration);
    }

    private static String route(
            String name, String prefix, String kind, String service, int timeoutMillis, int targetMillis, int priority,
            int maxAttempts, String more) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
                + ",\"priority\":" + priority + ",\"service\":\"" + service + "\",\"max_attempts\":" + maxAttempts
                + ",\"public\":false" + more + "}";
    }

    static String settings(
            Site site, String name, String host, String zone, int port, int readinessPort, int firstPort, int lastPort,
            String storeAddress) {
        return "{\"node_name\":\"" + name + "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"serves\":[\"edge\"],"
                + "\"ip\":\"" + host + "\",\"zone\":\"" + zone + "\",\"region\":\"r\","
                + "\"zones\":{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"},"
                + "\"listen\":{\"frontend\":\"" + host + ":" + port + "\",\"ready\":\"" + host + ":" + readinessPort
                + "\"},\"internal_port_range\":[" + firstPort + "," + lastPort + "],\"seed_nodes\":[],"
                + "\"bootstrap\":true,\"failure_counted\":false,\"limits\":{\"cpu_fraction\":0.57,\"cpu_cores\":1,"
                + "\"memory_mb\":" + site.memoryMegabytes + ",\"file_descriptors\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},"
                + "\"data_directory\":null,\"discovery\":\"platform\",\"entry\":\"virtual_ip\","
                + "\"heartbeat_interval_ms\":" + Worker.HEARTBEAT_MILLIS + ",\"contracts\":[\"base\",\"drain\","
                + "\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"rollout\","
                + "\"platform\"],\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},\"bounds\":{"
                + "\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":" + site.bounds.contactMillis() + ",\"acknowledge_ms\":"
                + site.bounds.acknowledgeMillis() + ","
                + "\"catch_up_s\":" + site.bounds.catchUpSeconds() + ",\"drain_ms\":" + site.bounds.drainMillis()
                + ",\"grace_period_s\":8,\"loss_slack_ms\":200,"
                + "\"config_apply_ms\":" + site.bounds.configApplyMillis()
                + ",\"downgrade_slack_ms\":250,\"outer_bound_ms\":" + site.bounds.outerBoundMillis() + ","
                + "\"revocation_strict\":false,\"revocation_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
                + "\"retry_budget_extra\":" + site.retryBudgetExtra + ",\"exposure_fraction\":" + EXPOSURE_FRACTION + ",\"exposure_tolerance\":"
                + EXPOSURE_TOLERANCE + ",\"rollback_ms\":5000,\"cold_overrun\":1.5,\"cold_tolerance\":5,"
                + "\"evacuation_ms\":5000,\"recovery_s\":" + site.bounds.recoverySeconds() + ",\"pass_time_ms\":"
                + site.bounds.passTimeMillis() + ","
                + "\"reuse_window_s\":" + site.reuseWindowSeconds + "},\"platform\":{\"address\":\"" + storeAddress + "\",\"form\":\"log\","
                + "\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":12,\"append_latency_ms\":2.0,"
                + "\"partition_mb_s\":20.0,\"read_mb_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,"
                + "\"keep_s\":300,\"partition_mb\":200,\"min_ttl_ms\":1000}}";
    }

    Worker addWorker(Worker.Kind kind, int number, Worker.Listener listener, Set<String> crashingParts, int restartMillis)
            throws IOException {
        String name = kind.service() + "-" + kind.version() + "-" + number;
        Worker worker = new Worker(
                store, recorder, listener, kind, ZONES[number % ZONES.length], "127.0.0." + (51 + number), name,
                crashingParts, restartMillis);
        workers.add(worker);
        return worker;
    }

    void startEntries() throws IOException, InterruptedException {
        for (Entry entry : entries) {
            entry.start();
        }
        for (int i = 0; i < READY_SECONDS * 10; i++) {
            boolean ready = true;
            for (Entry entry : entries) {
                ready &= entry.isReady();
            }
            if (ready) {
                balancer.start();
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("expected " + entries.size() + " ready entries after " + READY_SECONDS + " s");
    }

    /** Orders a rollout and returns its offset. */
    long orderRollout(String service, String target, int seconds) {
        long offset = store.put(
                "keyed.op",
                "rollout/" + service,
                "{\"service\":\"" + service + "\",\"target\":\"" + target + "\",\"duration_s\":" + seconds + "}");
        recorder.line("operator", "rollout of " + service + " to " + target + " ordered at offset " + offset);
        return offset;
    }

    /** The state of a rollout as the system states it, or an empty text. */
    String rolloutState(String service, String target) {
        String status = store.newest("keyed.status", "rollout/" + service);
        if (status == null || !status.contains("\"target\":\"" + target + "\"")) {
            return "";
        }
        return status.replaceAll(".*\"state\":\"([^\"]*)\".*", "$1");
    }

    /** Waits until the system states that a rollout is over; returns its state, or an empty text. */
    String awaitEnd(String service, String target, int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 20; i++) {
            String state = rolloutState(service, target);
            if (state.equals("completed") || state.equals("reverted")) {
                recorder.note("the system states that the rollout to " + target + " is " + state);
                return state;
            }
            Thread.sleep(50);
        }
        return "";
    }

    @Override
    public void close() throws IOException {
        balancer.close();
        for (Entry entry : entries) {
            entry.close();
        }
        for (Worker worker : workers) {
            worker.close();
        }
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + directory);
            return;
        }
        Files.walkFileTree(directory, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
                Files.delete(file);
                return FileVisitResult.CONTINUE;
            }
        });
        Files.delete(directory);
    }
}

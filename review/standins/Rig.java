import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, the entries as processes, free ports, and the end of a script. */
final class Rig {
    static final String HOST = "127.0.0.1";
    /** The exit statuses, which run.sh maps to 0, 1 and 2: a JVM that fails exits with 1 too. */
    static final int HELD = 40;

    static final int BROKEN = 41;
    static final int NOT_RUN = 42;
    private static final long MAX_RUN_MILLIS = 112_000;

    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path directory;
    private final List<Entry> entries = new CopyOnWriteArrayList<>();
    private final Random random = new Random();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private Rig(String caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        directory = Files.createTempDirectory("review-");
        log("trouble: " + trouble);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killEntries));
        Thread watchdog = new Thread(() -> {
            sleep(MAX_RUN_MILLIS);
            log("the script took too long");
            end(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** What a case does; returns the exit status. */
    interface Script {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and exits. */
    static void main(String[] arguments, Script script) throws Exception {
        Rig rig = new Rig(arguments[0]);
        int status = NOT_RUN;
        try {
            status = script.run(rig);
        } catch (Throwable failed) {
            rig.log("could not run: " + failed);
            failed.printStackTrace();
        }
        rig.end(status);
    }

    private void end(int status) {
        log("end" + (status == BROKEN ? ": the rule was broken" : status == HELD ? ": the rule held" : ": the case could not run"));
        killEntries();
        record.flush();
        Runtime.getRuntime().halt(status);
    }

    private void killEntries() {
        entries.forEach(Entry::kill);
        deleteDirectory();
    }

    private void deleteDirectory() {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(directory);
        } catch (IOException alreadyGone) {
            // The temporary folder was deleted before.
        }
    }

    synchronized void log(String line) {
        String text = String.format(Locale.ROOT, "%9.3f %s", millis() / 1000.0, line);
        record.println(text);
        System.out.println(text);
    }

    /** Milliseconds since the start. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(Rig rig, long millis) {
        sleep(millis - rig.millis());
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns the first of {@code count} ports of which the first and the last are free. */
    int freePort(int count) throws IOException {
        while (true) {
            int first = 20_000 + random.nextInt(11_000);
            if (isFree(first) && isFree(first + count - 1)) {
                return first;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
            return probe.getLocalPort() == port;
        } catch (IOException inUse) {
            return false;
        }
    }

    /** Starts an entry with the command of the deploy file. */
    Entry startEntry(String name, String zone, int storePort) throws Exception {
        Entry entry = new Entry(name, zone, storePort);
        entries.add(entry);
        entry.start();
        return entry;
    }

    /** Waits until the readiness endpoint of an entry answers 200. */
    void awaitReady(Entry entry) throws Exception {
        long deadline = millis() + 20_000;
        while (millis() < deadline) {
            if (Client.readiness(entry.readyPort) == 200) {
                log(entry.name + " is ready");
                return;
            }
            sleep(50);
        }
        throw new IllegalStateException(entry.name + " did not get ready; its last lines: " + entry.lastLines(5));
    }

    /** An entry as a process. */
    final class Entry {
        final String name;
        final int port = freePort(1);
        final int readyPort = freePort(1);
        final int internalPort = freePort(16);
        private final Path settings;
        private final Path output;
        private Process process;

        private Entry(String name, String zone, int storePort) throws IOException {
            this.name = name;
            this.output = directory.resolve(name + ".log");
            this.settings = Files.writeString(directory.resolve(name + ".json"), settings(zone, storePort));
        }

        /** The settings of a small deployment; see the example in DEPLOY. */
        private String settings(String zone, int storePort) {
            return """
                {"node_name": "%s", "role": "entry", "machine_class": "edge", "serves": ["edge"], "ip": "%s",
                 "zone": "%s", "region": "shewa",
                 "zones": {"shewa-a": "shewa", "shewa-b": "shewa", "shewa-c": "shewa"},
                 "listen": {"frontend": "%s:%d", "ready": "%s:%d"}, "internal_port_range": [%d, %d],
                 "seed_nodes": [], "bootstrap": true, "failure_counted": false,
                 "limits": {"cpu_fraction": 0.57, "cpu_cores": 1, "memory_mb": 280, "file_descriptors": 4100,
                            "link_mbps": 1000.0, "disk_mb": 0},
                 "data_directory": null, "discovery": "platform", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
                 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                               "places", "rollout", "platform"],
                 "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
                 "bounds": {"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000,
                            "catch_up_s": 4, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200,
                            "config_apply_ms": 2000, "downgrade_slack_ms": 250, "outer_bound_ms": 5000,
                            "revocation_strict": false, "revocation_ms": 5000, "retry_budget_ratio": 0.2,
                            "budget_window_s": 10, "retry_budget_extra": 54, "exposure_fraction": 0.1,
                            "exposure_tolerance": 50, "rollback_ms": 5000, "cold_overrun": 1.5, "cold_tolerance": 5,
                            "evacuation_ms": 5000, "recovery_s": 12, "pass_time_ms": 120, "reuse_window_s": 5.9},
                 "platform": {"address": "%s:%d", "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12,
                              "append_latency_ms": 2.0, "partition_mb_s": 20.0, "read_mb_s": 80.0,
                              "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "partition_mb": 200,
                              "min_ttl_ms": 1000}}
                """
                    .formatted(
                            name, HOST, zone, HOST, port, HOST, readyPort, internalPort, internalPort + 15, HOST, storePort);
        }

        synchronized void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(deployCommand());
            List<String> kept = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
            builder.environment().keySet().removeIf(variable -> !kept.contains(variable));
            builder.environment().put("CORIANDERSILL_CONFIG", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            log(name + " started, process " + process.pid());
        }

        /** Sends a signal such as TERM or STOP. */
        void signal(String signal) throws Exception {
            log(name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        synchronized boolean isAlive() {
            return process.isAlive();
        }

        synchronized void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        /** Returns the lines of the output that contain {@code text}. */
        List<String> lines(String text) throws IOException {
            List<String> found = new ArrayList<>();
            for (String line : Files.readString(output, StandardCharsets.UTF_8).split("\n")) {
                if (line.contains(text)) {
                    found.add(line.length() > 600 ? line.substring(0, 600) : line);
                }
            }
            return found;
        }

        List<String> lastLines(int count) throws IOException {
            List<String> all = lines("");
            return all.subList(Math.max(0, all.size() - count), all.size());
        }
    }

    /** Returns the command of the role in the deploy file. */
    private static List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml names no command");
    }
}

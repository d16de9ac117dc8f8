package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import coriandersill.ports.PortRange;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry in a separate process, which is signalled by its process id. */
final class EntryProcess {
    /** The field of a thread's scheduler statistics with the time for which it could run but had no processor. */
    private static final int SCHEDSTAT_WAIT_FIELD = 1;

    private static final int SIGNAL_TIMEOUT_SECONDS = 5;
    private static final int KILL_TIMEOUT_SECONDS = 5;

    private final String name;
    private final Path settingsFile;
    private final Path logFile;
    private final int port;
    private final int readinessPort;
    private final int internalPort;
    private final String classPath;
    private final List<HeapLog> heapLogs = new ArrayList<>();
    private Process process;
    private long startedAtNanos;

    private EntryProcess(String name, Path directory, int storePort, String classPath) throws IOException {
        PortRange ports = PortRange.ofThisProcess();
        this.name = name;
        this.port = ports.freePort();
        this.readinessPort = ports.freePort();
        this.internalPort = ports.freePort();
        this.classPath = classPath;
        this.logFile = directory.resolve(name + ".log");
        this.settingsFile = Files.writeString(
                directory.resolve(name + ".json"),
                PlatformFixtures.settings(name, storePort, port, readinessPort, internalPort, ports.freePort()));
    }

    /** Returns an entry that has yet to be started, with the class path of its build. */
    static EntryProcess create(String name, Path directory, int storePort, String classPath) throws IOException {
        return new EntryProcess(name, directory, storePort, classPath);
    }

    /** Returns the class path of the build that this process is of. */
    static String ownClassPath() {
        // Surefire may start the tests with a class path that is only a reference to the real one.
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    int readinessPort() {
        return readinessPort;
    }

    int internalPort() {
        return internalPort;
    }

    Path logFile() {
        return logFile;
    }

    synchronized void start() throws IOException {
        HeapLog heapLog = new HeapLog(logFile.resolveSibling(name + "." + heapLogs.size() + ".gc.log"));
        heapLogs.add(heapLog);
        // Memory, collector and compiler options as in deploy/system.toml.
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx110m",
                "-XX:MaxDirectMemorySize=72m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                heapLog.option(),
                "-cp",
                classPath,
                "coriandersill.platform.Main");
        builder.environment().put(PlatformFixtures.SETTINGS_VARIABLE, settingsFile.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(logFile.toString())));
        process = builder.start();
        startedAtNanos = System.nanoTime();
    }

    synchronized void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns the process id of the process that was started last. */
    synchronized long pid() {
        return process.pid();
    }

    synchronized boolean awaitExit(long timeoutSeconds) throws InterruptedException {
        return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
    }

    /** Returns for how long the process that was started last has run. */
    synchronized long runningMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    }

    synchronized boolean isAlive() {
        return process.isAlive();
    }

    /** The largest resident memory of the running process so far, in kB; 0 if it has ended. */
    synchronized long peakMemoryKilobytes() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElse(0);
    }

    /** Returns the largest sizes of the heaps of all processes that were started. */
    synchronized HeapLog.Peak peakHeap() throws IOException {
        HeapLog.Peak peak = HeapLog.Peak.NONE;
        for (HeapLog heapLog : heapLogs) {
            peak = peak.max(heapLog.peak());
        }
        return peak;
    }

    /** Whether a process has written that its heap was full. */
    boolean hasRunOutOfMemory() throws IOException {
        return Files.readString(logFile, StandardCharsets.ISO_8859_1).contains(OutOfMemoryError.class.getName());
    }

    /**
     * Returns for how long each thread of the process has waited for a processor so far, in nanoseconds by thread
     * directory; empty if it has ended or the system does not tell.
     */
    synchronized Map<Path, Long> processorWaits() {
        Map<Path, Long> waits = new HashMap<>();
        Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                String[] fields =
                        Files.readString(thread.resolve("schedstat")).trim().split(" ", -1);
                waits.put(thread, Long.parseLong(fields[SCHEDSTAT_WAIT_FIELD]));
            }
        } catch (IOException | DirectoryIteratorException ended) {
            // A thread, or the process, has just ended.
        }
        return waits;
    }

    synchronized void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}

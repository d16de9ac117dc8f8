package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** An entry in a separate process, which is signalled by its process id. */
final class EntryProcess {
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;
    private static final int SIGNAL_TIMEOUT_SECONDS = 5;
    private static final int KILL_TIMEOUT_SECONDS = 5;

    private final String name;
    private final Path settingsFile;
    private final Path logFile;
    private final int port;
    private final int readinessPort;
    private Process process;

    private EntryProcess(String name, Path directory, int storePort) throws IOException {
        this.name = name;
        this.port = freePort();
        this.readinessPort = freePort();
        this.logFile = directory.resolve(name + ".log");
        this.settingsFile = Files.writeString(
                directory.resolve(name + ".json"),
                PlatformFixtures.settings(name, storePort, port, readinessPort, freePort()));
    }

    static EntryProcess create(String name, Path directory, int storePort) throws IOException {
        return new EntryProcess(name, directory, storePort);
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

    Path logFile() {
        return logFile;
    }

    synchronized void start() throws IOException {
        // Memory, collector and compiler options as in deploy/system.toml. Surefire may start the tests with a class
        // path that is only a reference to the real one.
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx110m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "coriandersill.platform.Main");
        builder.environment().put(PlatformFixtures.SETTINGS_VARIABLE, settingsFile.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(logFile.toString())));
        process = builder.start();
    }

    synchronized void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    synchronized boolean awaitExit(long timeoutSeconds) throws InterruptedException {
        return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
    }

    synchronized void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Picks a free port below the ephemeral range, so that no outgoing connection takes it before a restart. */
    private static int freePort() throws IOException {
        while (true) {
            int candidate = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket = new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                // Try another port.
            }
        }
    }
}

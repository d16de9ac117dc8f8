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

/** An entry as a process of its own; only this process is ever signalled, by its id. */
final class EntryDaemon {
    private static final int LOWEST_PORT = 20_000;
    private static final int HIGHEST_PORT = 32_000;

    private final String name;
    private final Path settings;
    private final Path log;
    private final int port;
    private final int readyPort;
    private Process process;

    private EntryDaemon(String name, Path directory, int storePort) throws IOException {
        this.name = name;
        this.port = freePort();
        this.readyPort = freePort();
        this.log = directory.resolve(name + ".log");
        this.settings = Files.writeString(
                directory.resolve(name + ".json"),
                PlatformFixtures.settings(name, storePort, port, readyPort, freePort()));
    }

    static EntryDaemon create(String name, Path directory, int storePort) throws IOException {
        return new EntryDaemon(name, directory, storePort);
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    int readyPort() {
        return readyPort;
    }

    Path log() {
        return log;
    }

    synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx110m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "coriandersill.platform.Main");
        builder.environment().put(PlatformFixtures.SETTINGS_VARIABLE, settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
    }

    synchronized void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    synchronized boolean ended(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    synchronized void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Draws a port that no connection of the machine is given by itself, so that a restart finds it free. */
    private static int freePort() throws IOException {
        while (true) {
            int drawn = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket(drawn, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                // Another one is drawn.
            }
        }
    }
}

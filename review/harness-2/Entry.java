import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry: a process of its own, started with the command of the deploy file. */
final class Entry implements AutoCloseable {
    private final Path root;
    private final Path directory;
    private final Recorder recorder;
    private final String name;
    private final String host;
    private final int port;
    private final int readinessPort;
    private final Path settings;
    private Process process;
    private int starts;
    private volatile boolean frozen;

    Entry(
            Path root, Path directory, Recorder recorder, Deployment.Site site, String name, String host, String zone,
            String storeAddress)
            throws IOException {
        this.root = root;
        this.directory = directory;
        this.recorder = recorder;
        this.name = name;
        this.host = host;
        this.port = freePort(host);
        this.readinessPort = freePort(host);
        this.settings = directory.resolve(name + ".json");
        Files.writeString(settings, Deployment.settings(
                site, name, host, zone, port, readinessPort, freePort(host), freePort(host), storeAddress));
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return name;
    }

    String host() {
        return host;
    }

    int port() {
        return port;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    synchronized void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml: expected a command, found none");
        }
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CORIANDERSILL_CONFIG", settings.toString());
        starts++;
        builder.directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + "." + starts + ".log").toFile());
        process = builder.start();
        recorder.line("entry", name + " started as process " + process.pid());
    }

    /** Returns whether the entry says that it is ready. */
    boolean isReady() {
        if (!isAlive() || frozen) {
            return false;
        }
        String request = "GET /v1/readiness HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n";
        return Http.send(host, readinessPort, request, 1_000).status() == 200;
    }

    synchronized void kill() throws InterruptedException {
        recorder.line("entry", name + " killed");
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        frozen = false;
    }

    synchronized void signal(String signal) throws IOException, InterruptedException {
        recorder.line("entry", name + " gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
        frozen = signal.equals("STOP");
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

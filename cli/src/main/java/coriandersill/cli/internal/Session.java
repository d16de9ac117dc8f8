package coriandersill.cli.internal;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.log.ApplyResult;
import coriandersill.configuration.log.ConfigurationClient;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import coriandersill.sharedlog.http.HttpPlatformClient;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The connection of one command to the platform; not thread-safe. */
final class Session implements AutoCloseable {
    private static final int MAX_RECORDS_PER_READ = 500;

    private final Vertx vertx = Vertx.vertx();
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "timers");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpPlatformClient platform;
    private final ConfigurationClient configurationClient;
    private final int timeoutSeconds;

    private Session(String host, int port, int timeoutSeconds) {
        this.platform = HttpPlatformClient.builder(vertx, host, port)
                // A read at the end of a stream must return immediately instead of waiting for the next record.
                .longPollTimeout(Duration.ZERO)
                .build();
        this.configurationClient =
                ConfigurationClient.of(platform.log(), Scheduler.of(timers), Duration.ofSeconds(timeoutSeconds));
        this.timeoutSeconds = timeoutSeconds;
    }

    /** Opens a session with the platform at {@code HOST:PORT}. */
    static Session open(String address, int timeoutSeconds) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("--platform: expected HOST:PORT, found \"" + address + "\"");
        }
        return new Session(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)), timeoutSeconds);
    }

    int timeoutSeconds() {
        return timeoutSeconds;
    }

    AcceptedState readState() {
        return configurationClient.state().join();
    }

    ConfigurationClient configurationClient() {
        return configurationClient;
    }

    /** Applies edits as one change set. */
    ApplyResult apply(String id, String author, String reason, AcceptedState base, List<DocumentEdit> edits) {
        ChangeSet change = ChangeSet.of(id, author, reason, Instant.now(), base.position(), edits);
        return configurationClient.apply(change).join();
    }

    static String newChangeId() {
        return UUID.randomUUID().toString();
    }

    static String defaultAuthor() {
        return System.getProperty("user.name", "operator");
    }

    List<ListedInstance> readInstances() {
        return platform.instanceList()
                .read()
                .orTimeout(timeoutSeconds, TimeUnit.SECONDS)
                .join();
    }

    /** Reads all records that a stream currently retains. */
    List<LogRecord> readStream(String name) {
        PlatformLog log = platform.log();
        List<LogRecord> all = new ArrayList<>();
        long next = 0;
        while (true) {
            LogPage page = log.read(name, next, MAX_RECORDS_PER_READ).join();
            all.addAll(page.records());
            next = page.records().isEmpty()
                    ? page.end()
                    : page.records().get(page.records().size() - 1).offset() + 1;
            if (next >= page.end()) {
                return all;
            }
        }
    }

    @Override
    public void close() {
        platform.stop(Duration.ZERO).join();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        timers.shutdownNow();
    }
}

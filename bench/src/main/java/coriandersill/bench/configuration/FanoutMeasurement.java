package coriandersill.bench.configuration;

import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.Configuration;
import coriandersill.configuration.ConfigurationListener;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.HistoryEntry;
import coriandersill.configuration.StandardRule;
import coriandersill.configuration.log.ConfigurationService;
import coriandersill.core.InstanceId;
import coriandersill.documents.RecordCodec;
import coriandersill.sharedlog.Scheduler;
import coriandersill.sharedlog.http.HttpPlatformClient;
import coriandersill.standins.platform.InMemoryLog;
import coriandersill.standins.platform.PlatformServer;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Measures the time from the submission of a change until each of many processes has decided on it. */
final class FanoutMeasurement {
    private static final String STREAM = ConfigurationService.STREAM;

    /** Limits the configuration to 400 documents: one heap cannot hold 3,000 documents for each of 350 processes. */
    private static final int INITIAL_CHANGES = 4;

    private final Vertx vertx = Vertx.vertx();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final Scheduler scheduler = Scheduler.of(timers);
    private final WorkerPool workers = WorkerPool.of("bench", 3, 100_000);
    private final InMemoryLog log = InMemoryLog.of(InstantSource.system(), scheduler);
    private final ConfigurationStateMachine stateMachine = ConfigurationStateMachine.of(StandardRule.all());
    private final List<HttpPlatformClient> platformClients = new ArrayList<>();
    private ConfigurationState state = ConfigurationState.initial();
    private long offset;

    /**
     * The parameters of a measurement.
     *
     * @param readers the number of processes that follow the log
     * @param changes the number of changes, of one document each
     * @param interval the time between two changes; zero for a burst
     * @param delay the delay of each response of the log
     */
    record Plan(int readers, int changes, Duration interval, Duration delay) {}

    void run(Plan plan) throws Exception {
        SampleConfiguration.initialChanges().stream().limit(INITIAL_CHANGES).forEach(this::append);
        PlatformServer server = PlatformServer.create(vertx, "127.0.0.1", 0, log);
        server.start().get(10, TimeUnit.SECONDS);
        AtomicLongArray sentAtNanos = new AtomicLongArray(plan.changes());
        CountDownLatch pendingNotifications = new CountDownLatch(plan.changes() * plan.readers());
        Histogram latencyMicros = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(10), 3);
        startReaders(plan, server.port(), new LatencyRecorder(sentAtNanos, pendingNotifications, latencyMicros));
        log.faults().setResponseDelay(plan.delay());
        long bytesBefore = receivedBytes();
        long readsBefore = log.readCount();
        long startNanos = System.nanoTime();
        for (int i = 0; i < plan.changes(); i++) {
            int number = i;
            timers.schedule(
                    () -> {
                        sentAtNanos.set(number, System.nanoTime());
                        append(SampleConfiguration.change(state.accepted(), number));
                    },
                    plan.interval().toNanos() * i,
                    TimeUnit.NANOSECONDS);
        }
        boolean completed = pendingNotifications.await(10, TimeUnit.MINUTES);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        report(
                plan,
                latencyMicros,
                pendingNotifications.getCount(),
                completed,
                seconds,
                receivedBytes() - bytesBefore,
                log.readCount() - readsBefore);
        close();
    }

    private void startReaders(Plan plan, int port, ConfigurationListener recorder) throws Exception {
        List<ConfigurationService> services = new ArrayList<>();
        for (int i = 0; i < plan.readers(); i++) {
            HttpPlatformClient platform = HttpPlatformClient.builder(vertx, "127.0.0.1", port)
                    .executor(workers)
                    .requestTimeout(Duration.ofSeconds(30))
                    .build();
            platformClients.add(platform);
            ConfigurationService service = ConfigurationService.builder(
                            InstanceId.of("reader-" + i), platform.log(), scheduler)
                    .executor(workers)
                    .build();
            service.addListener(recorder);
            service.start().get(10, TimeUnit.SECONDS);
            services.add(service);
        }
        for (ConfigurationService service : services) {
            service.whenReady().get(2, TimeUnit.MINUTES);
        }
    }

    private synchronized void append(ChangeSet change) {
        state = stateMachine.apply(state, offset, change).state();
        offset++;
        CompletableFuture<Long> unused = log.append(STREAM, List.of(RecordCodec.encode(change)));
    }

    private long receivedBytes() {
        return platformClients.stream()
                .mapToLong(HttpPlatformClient::receivedBytes)
                .sum();
    }

    private static void report(
            Plan plan,
            Histogram latencyMicros,
            long missingNotifications,
            boolean completed,
            double seconds,
            long bytes,
            long reads) {
        System.out.printf(
                "fanout %s: in force p50 %.1f ms, p99 %.1f ms, max %.1f ms, %d of %d missing, %s%n",
                plan,
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3,
                latencyMicros.getMaxValue() / 1e3,
                missingNotifications,
                (long) plan.changes() * plan.readers(),
                completed ? "complete" : "timed out");
        System.out.printf(
                "fanout: %.1f s, %.0f body bytes/s and %.2f reads/s per process, %.0f body bytes per change%n",
                seconds,
                bytes / seconds / plan.readers(),
                reads / seconds / plan.readers(),
                (double) bytes / plan.readers() / plan.changes());
    }

    private void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        timers.shutdownNow();
        workers.stop(Duration.ZERO).get(1, TimeUnit.SECONDS);
    }

    private record LatencyRecorder(
            AtomicLongArray sentAtNanos, CountDownLatch pendingNotifications, Histogram latencyMicros)
            implements ConfigurationListener {
        @Override
        public void onConfigurationChanged(Configuration current) {}

        @Override
        public void onChangeSetDecided(HistoryEntry entry) {
            // The initial changes, which have other ids, are not measured.
            if (entry.changeId().startsWith("change-")) {
                int number = Integer.parseInt(entry.changeId().substring("change-".length()));
                latencyMicros.recordValue((System.nanoTime() - sentAtNanos.get(number)) / 1_000);
                pendingNotifications.countDown();
            }
        }
    }
}

package coriandersill.bench.coordination;

import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.Fingerprint;
import coriandersill.idempotency.IdempotencyKey;
import coriandersill.idempotency.log.ClaimRequest;
import coriandersill.idempotency.log.ClaimResult;
import coriandersill.idempotency.log.ClaimService;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.Scheduler;
import coriandersill.standins.platform.InMemoryLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/** Measures the latency, appends and bytes of claims by three entries on a log with a response time of 3 ms. */
public final class ClaimThroughput {
    private static final int DURATION_SECONDS = 5;
    /** The time between two batches of offered claims. */
    private static final int BATCH_INTERVAL_MILLIS = 5;

    private static final Duration LOG_DELAY = Duration.ofMillis(3);
    private static final byte[] BODY = new byte[100];

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final ExecutorService worker = Executors.newSingleThreadExecutor();
    private final InMemoryLog log = InMemoryLog.of(InstantSource.system(), Scheduler.of(timer));
    private final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(3);
    /** Counts the claims that were refused or have an unknown result; none is replayed, because every key is new. */
    private final LongAdder notWon = new LongAdder();

    private final List<ClaimService> entries = new ArrayList<>();

    private ClaimThroughput(int entryCount) {
        log.faults().setResponseDelay(LOG_DELAY);
        for (int i = 0; i < entryCount; i++) {
            entries.add(ClaimService.builder(log, Scheduler.of(timer), InstanceId.of("entry-" + i), 1)
                    .executor(worker)
                    .build());
        }
    }

    /** Prints one line for each offered rate in claims per second. */
    public static void main(String[] arguments) throws Exception {
        for (int rate : new int[] {500, 500, 2_000, 8_000}) {
            new ClaimThroughput(3).measure(rate);
        }
    }

    private void measure(int rate) throws Exception {
        for (ClaimService entry : entries) {
            entry.start().get(10, TimeUnit.SECONDS);
        }
        long appendsBefore = log.appendCount();
        SplittableRandom random = new SplittableRandom(1);
        int claimsPerBatch = Math.max(1, rate * BATCH_INTERVAL_MILLIS / 1000);
        Runnable offerBatch = () -> {
            for (int i = 0; i < claimsPerBatch; i++) {
                claim(entries.get(random.nextInt(entries.size())), random);
            }
        };
        ScheduledFuture<?> load =
                timer.scheduleAtFixedRate(offerBatch, 0, BATCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        timer.schedule(() -> load.cancel(false), DURATION_SECONDS, TimeUnit.SECONDS)
                .get();
        // Leaves 1 s for the results of the last claims.
        timer.schedule(() -> {}, 1, TimeUnit.SECONDS).get();
        print(rate, log.appendCount() - appendsBefore);
        timer.shutdownNow();
        worker.shutdownNow();
    }

    private void claim(ClaimService entry, SplittableRandom random) {
        long startNanos = System.nanoTime();
        ClaimKey key = ClaimKey.of(WorkspaceName.of("workspace-1"), IdempotencyKey.generate(Instant.now(), random));
        ClaimRequest request = new ClaimRequest(key, new Fingerprint(1), Duration.ofSeconds(30));
        CompletableFuture<Void> unused = entry.claim(request).thenAccept(result -> {
            latencyMicros.recordValue((System.nanoTime() - startNanos) / 1000);
            if (result instanceof ClaimResult.Won won) {
                CompletableFuture<Boolean> unusedSettled = entry.complete(won.claim(), 201, "application/json", BODY);
            } else {
                notWon.increment();
            }
        });
    }

    private void print(int rate, long appends) throws Exception {
        LogPage page = log.readNow("claims", 0, Integer.MAX_VALUE).get(10, TimeUnit.SECONDS);
        long bytes = page.records().stream().mapToLong(ClaimThroughput::size).sum();
        System.out.printf(
                "offered/s %d  claims %d  refused %d  appends/s %.0f  p50 ms %.1f  p99 ms %.1f  bytes %.0f%n",
                rate,
                latencyMicros.getTotalCount(),
                notWon.sum(),
                (double) appends / DURATION_SECONDS,
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3,
                (double) bytes / latencyMicros.getTotalCount());
    }

    private static long size(LogRecord record) {
        return record.data().length;
    }
}

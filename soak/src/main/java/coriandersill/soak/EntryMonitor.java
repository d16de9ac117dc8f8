package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Asks each entry again and again what it says of itself, and checks that no process ends by itself and that none stops
 * to follow the list of upstreams.
 */
final class EntryMonitor {
    private static final long INTERVAL_MILLIS = 200;
    private static final int STATUS_OK = 200;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long BYTES_PER_KILOBYTE = 1_024;

    private final List<EntryProcess> entries;
    private final DisturbanceTracker disturbances;
    private final ListingsAgeChecker ageChecker;
    private final Map<String, Samples> samplesOfEntries = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    /** What was found at an entry so far. */
    private static final class Samples {
        private int asked;
        private int ready;
        private double maxListingsAgeMillis;
        private long peakMemoryKilobytes;
        private boolean endedByItself;
        private boolean stoppedToFollow;
    }

    EntryMonitor(List<EntryProcess> entries, DisturbanceTracker disturbances) {
        this.entries = entries;
        this.disturbances = disturbances;
        this.ageChecker = new ListingsAgeChecker(disturbances);
        entries.forEach(entry -> samplesOfEntries.put(entry.name(), new Samples()));
    }

    void start() {
        timer.scheduleWithFixedDelay(
                () -> entries.forEach(this::sample), INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops, and returns a description of each violation found. */
    List<String> stop() throws InterruptedException, IOException {
        timer.shutdown();
        timer.awaitTermination(entries.size() * 4L, TimeUnit.SECONDS);
        for (EntryProcess entry : entries) {
            if (entry.hasRunOutOfMemory()) {
                violations.add(entry.name() + " ran out of memory; see its log " + entry.logFile());
            }
        }
        return violations;
    }

    /** Returns a line for each entry with what it said of itself and its memory. */
    List<String> summary() throws IOException {
        List<String> lines = new ArrayList<>();
        for (EntryProcess entry : entries) {
            lines.add(summary(entry));
        }
        return lines;
    }

    private String summary(EntryProcess entry) throws IOException {
        HeapLog.Peak heap = entry.peakHeap();
        Samples samples = samplesOfEntries.get(entry.name());
        return entry.name() + ": ready in " + samples.ready + " of " + samples.asked
                + " questions while settled, list of upstreams at most "
                + Math.round(samples.maxListingsAgeMillis) + " ms old, peak memory "
                + samples.peakMemoryKilobytes / BYTES_PER_KILOBYTE + " MB, of its heap " + heap.beforeCollection()
                + " MB, after a full collection " + heap.afterFullCollection() + " MB";
    }

    private void sample(EntryProcess entry) {
        Samples samples = samplesOfEntries.get(entry.name());
        long fromNanos = System.nanoTime();
        boolean settled = disturbances.isSettled(entry.name());
        try {
            boolean alive = entry.isAlive();
            samples.peakMemoryKilobytes = Math.max(samples.peakMemoryKilobytes, entry.peakMemoryKilobytes());
            if (!alive && !samples.endedByItself && settled) {
                samples.endedByItself = true;
                violations.add(entry.name() + " ended by itself; see its log " + entry.logFile());
            }
            if (!alive || !settled) {
                return;
            }
            samples.asked++;
            boolean ready = client.send(
                                    PlatformFixtures.readinessRequest(entry.readinessPort()),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == STATUS_OK;
            samples.ready += ready ? 1 : 0;
            SlowdownMonitor.recordIfSlow(disturbances, entry.name(), fromNanos, 0);
            double age = listingsAgeMillis(PlatformFixtures.metricsRequest(entry.internalPort()));
            if (disturbances.isSettled(entry.name())) {
                checkAge(entry, samples, age);
            }
        } catch (IOException noAnswer) {
            // Counted as asked, but not ready.
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkAge(EntryProcess entry, Samples samples, double ageMillis) {
        samples.maxListingsAgeMillis = Math.max(samples.maxListingsAgeMillis, ageMillis);
        Duration age = Duration.ofNanos((long) (ageMillis * NANOS_PER_MILLI));
        if (ageChecker.isTooOld(entry.name(), age, System.nanoTime()) && !samples.stoppedToFollow) {
            samples.stoppedToFollow = true;
            violations.add(entry.name() + " stopped to follow the list of upstreams: expected it at most "
                    + ListingsAgeChecker.maxAge().toMillis() + " ms old, found " + Math.round(ageMillis));
        }
    }

    /** Returns the age of the list of upstreams; 0 if the entry, of an older build, does not tell it. */
    private double listingsAgeMillis(HttpRequest request) throws IOException, InterruptedException {
        String prefix = PlatformFixtures.LISTINGS_AGE_METRIC + " ";
        return client.send(request, HttpResponse.BodyHandlers.ofString())
                .body()
                .lines()
                .filter(line -> line.startsWith(prefix))
                .mapToDouble(line -> Double.parseDouble(line.substring(prefix.length())))
                .findFirst()
                .orElse(0);
    }
}

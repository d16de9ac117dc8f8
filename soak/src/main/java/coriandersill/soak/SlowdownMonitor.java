package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures how long the entries wait for a processor, how late this process runs and how late the store answers it,
 * because other programs take the processors: time limits do not hold for calls beside such a time, as for an entry
 * that a fault slows down.
 */
final class SlowdownMonitor {
    /** The name under which {@link DisturbanceTracker} has the times in which everything was slow. */
    static final String EVERYTHING = "everything";

    private static final int STATUS_OK = 200;
    private static final long INTERVAL_MILLIS = 50;

    /** From this delay on, a time counts as slow. */
    private static final Duration MIN_SLOW_DELAY = Duration.ofMillis(250);

    /** How long before its end a call must not have been slowed. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    /** From this time without a processor on, within one interval or the next, a thread's entry counts as slowed. */
    private static final Duration MIN_PROCESSOR_WAIT = Duration.ofMillis(100);

    private final DisturbanceTracker disturbances;
    private final List<EntryProcess> entries;
    private final Map<String, Map<Path, Long>> waitsOfEntries = new HashMap<>();
    private final HttpRequest request;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Thread thread = new Thread(this::measureUntilStopped, "soak-slowdown");
    private volatile boolean stopping;
    private int slowTimes;
    private long longestNanos;
    private int slowedEntryTimes;
    private long longestWaitNanos;

    SlowdownMonitor(int storePort, List<EntryProcess> entries, DisturbanceTracker disturbances) {
        this.entries = entries;
        this.disturbances = disturbances;
        this.request = PlatformFixtures.storeReadRequest(storePort);
        thread.setDaemon(true);
    }

    void start() {
        // What was before is not known.
        disturbances.slowed(EVERYTHING, System.nanoTime() - 1, System.nanoTime());
        thread.start();
    }

    void stop() throws InterruptedException {
        stopping = true;
        thread.join();
    }

    /** Returns the calls, none of them as one of a settled entry if much of the time before it was slow. */
    List<CallResult> withoutSlowed(List<CallResult> calls) {
        return calls.stream()
                .map(call -> isSlowed(call) ? call.ofUnsettledEntry() : call)
                .toList();
    }

    private boolean isSlowed(CallResult call) {
        long fromNanos = call.sentAtNanos() - SETTLING_TIME.toNanos();
        return slowedNanos(disturbances, call.entry(), fromNanos, call.endedAtNanos()) > MIN_SLOW_DELAY.toNanos();
    }

    /** Returns for how long an entry, or everything, was slow in a time; a time limit is longer by as much. */
    static long slowedNanos(DisturbanceTracker disturbances, String entry, long fromNanos, long toNanos) {
        return disturbances.slowedNanos(List.of(EVERYTHING, entry), fromNanos, toNanos);
    }

    /** Returns a line with what was measured. */
    String summary() {
        return "slowed by other programs: " + slowTimes + " times, at most "
                + TimeUnit.NANOSECONDS.toMillis(longestNanos) + " ms; entries without a processor: " + slowedEntryTimes
                + " times, at most " + TimeUnit.NANOSECONDS.toMillis(longestWaitNanos) + " ms";
    }

    /** Records the time since {@code fromNanos} as slow if it was much longer than expected; returns whether it was. */
    static boolean recordIfSlow(DisturbanceTracker disturbances, String name, long fromNanos, long expectedNanos) {
        long now = System.nanoTime();
        boolean slow = now - fromNanos - expectedNanos > MIN_SLOW_DELAY.toNanos();
        if (slow) {
            disturbances.slowed(name, fromNanos, now);
        }
        return slow;
    }

    private void measureUntilStopped() {
        try {
            while (!stopping) {
                long fromNanos = System.nanoTime();
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                record(fromNanos, TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS));
                long askedAtNanos = System.nanoTime();
                if (askStore()) {
                    record(askedAtNanos, 0);
                }
                entries.forEach(entry -> measureProcessorWait(entry, fromNanos));
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records an entry as slowed if one of its threads could run but had no processor for long. */
    private void measureProcessorWait(EntryProcess entry, long fromNanos) {
        Map<Path, Long> waits = entry.processorWaits();
        Map<Path, Long> before = waitsOfEntries.put(entry.name(), waits);
        if (before == null) {
            return;
        }
        long longest = waits.entrySet().stream()
                .mapToLong(wait -> wait.getValue() - before.getOrDefault(wait.getKey(), wait.getValue()))
                .max()
                .orElse(0);
        longestWaitNanos = Math.max(longestWaitNanos, longest);
        if (longest > MIN_PROCESSOR_WAIT.toNanos()) {
            slowedEntryTimes++;
            disturbances.slowed(entry.name(), fromNanos, System.nanoTime());
        }
    }

    private void record(long fromNanos, long expectedNanos) {
        if (recordIfSlow(disturbances, EVERYTHING, fromNanos, expectedNanos)) {
            slowTimes++;
            longestNanos = Math.max(longestNanos, System.nanoTime() - fromNanos);
        }
    }

    /** Returns whether the store answered; it does not while a fault of it is active. */
    private boolean askStore() throws InterruptedException {
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == STATUS_OK;
        } catch (IOException disturbed) {
            return false;
        }
    }
}

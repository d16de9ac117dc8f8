package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends calls of random kinds to random entries over persistent connections and records the results. */
final class LoadGenerator implements Load {
    /** How much longer than the longest call timeout to wait for open calls. */
    private static final Duration STOP_MARGIN = Duration.ofSeconds(4);

    /** How much of a response is kept; what ends is far shorter. */
    private static final int MAX_KEPT_CHARACTERS = 1 << 16;

    private static final long POLL_INTERVAL_MILLIS = 20;

    private final SoakEnvironment environment;
    private final List<EntryProcess> entries;
    private final DisturbanceTracker disturbances;
    private final Random random;
    private final CallPattern pattern;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<CallResult> results = new CopyOnWriteArrayList<>();
    private final AtomicInteger openCalls = new AtomicInteger();
    private int nextCallNumber;

    LoadGenerator(
            SoakEnvironment environment,
            List<EntryProcess> entries,
            DisturbanceTracker disturbances,
            Random random,
            CallPattern pattern) {
        this.pattern = pattern;
        this.environment = environment;
        this.entries = entries;
        this.disturbances = disturbances;
        this.random = random;
    }

    @Override
    public void start() {
        timer.scheduleAtFixedRate(this::sendNextCall, 0, pattern.intervalMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public List<CallResult> stop() throws InterruptedException {
        timer.shutdown();
        long deadlineNanos =
                System.nanoTime() + pattern.longestTimeout().plus(STOP_MARGIN).toNanos();
        while (openCalls.get() > 0 && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return results;
    }

    @Override
    public Duration maxAnswerTime(CallKind kind) {
        Duration deadline = pattern.timeout(kind);
        Duration routeTimeout = kind.maxAnswerTime();
        return deadline.compareTo(routeTimeout) < 0 ? deadline : routeTimeout;
    }

    private void sendNextCall() {
        EntryProcess entry = entries.get(random.nextInt(entries.size()));
        CallKind kind = pattern.kinds().get(random.nextInt(pattern.kinds().size()));
        List<String> keys = List.copyOf(environment.workspacesOfAllKeys().keySet());
        String key = keys.get(random.nextInt(keys.size()));
        String id = "c" + nextCallNumber++;
        Duration timeout = pattern.timeout(kind);
        // A call without a body is sent as a GET.
        String body = kind == CallKind.LOOK ? null : "prompt of " + id;
        long sentAtNanos = System.nanoTime();
        boolean entrySettled = disturbances.isSettled(entry.name());
        StringBuilder received = new StringBuilder();
        // Kept apart from the response, which a call that is broken off does not have.
        AtomicInteger status = new AtomicInteger();
        openCalls.incrementAndGet();
        CompletableFuture<HttpResponse<Void>> pending = client.sendAsync(
                PlatformFixtures.callRequest(entry.port(), kind.path() + id, id, key, timeout, body), head -> {
                    status.set(head.statusCode());
                    return HttpResponse.BodySubscribers.ofByteArrayConsumer(
                            bytes -> bytes.filter(part -> received.length() < MAX_KEPT_CHARACTERS)
                                    .ifPresent(part -> received.append(new String(part, StandardCharsets.ISO_8859_1))));
                });
        pending.whenComplete((response, failure) -> {
            results.add(new CallResult(
                    id,
                    kind,
                    entry.name(),
                    key,
                    sentAtNanos,
                    System.nanoTime(),
                    entrySettled,
                    status.get(),
                    failure == null,
                    received.toString()));
            openCalls.decrementAndGet();
        });
    }
}

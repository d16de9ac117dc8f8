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

/** Callers that send calls of all kinds to all entries over connections that they keep, and note what comes back. */
final class Callers {
    private static final List<CallKind> KINDS = List.of(CallKind.values());
    private static final long PAUSE_MILLIS = 12;
    private static final Duration SHORT_TIME = Duration.ofMillis(900);
    private static final Duration STREAM_TIME = Duration.ofSeconds(4);

    private final World world;
    private final List<EntryDaemon> entries;
    private final Calm calm;
    private final Random random;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final AtomicInteger open = new AtomicInteger();
    private int next;

    Callers(World world, List<EntryDaemon> entries, Calm calm, Random random) {
        this.world = world;
        this.entries = entries;
        this.calm = calm;
        this.random = random;
    }

    void start() {
        timer.scheduleAtFixedRate(this::send, 0, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends no more, and waits for the answers that are due. */
    List<Call> stop() throws InterruptedException {
        timer.shutdown();
        long end = System.nanoTime() + STREAM_TIME.plusSeconds(4).toNanos();
        while (open.get() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return calls;
    }

    private void send() {
        EntryDaemon entry = entries.get(random.nextInt(entries.size()));
        CallKind kind = KINDS.get(random.nextInt(KINDS.size()));
        List<String> keys = List.copyOf(world.everyWorkspace().keySet());
        String key = keys.get(random.nextInt(keys.size()));
        String id = "c" + next++;
        Duration time = kind.stream() ? STREAM_TIME : SHORT_TIME;
        String body = kind == CallKind.LOOK ? null : "prompt of " + id;
        long sentAt = System.nanoTime();
        boolean holds = calm.holds(entry.name());
        StringBuilder received = new StringBuilder();
        open.incrementAndGet();
        CompletableFuture<HttpResponse<Void>> answer = client.sendAsync(
                PlatformFixtures.callRequest(entry.port(), kind.path() + id, id, key, time, body),
                HttpResponse.BodyHandlers.ofByteArrayConsumer(bytes ->
                        bytes.ifPresent(part -> received.append(new String(part, StandardCharsets.ISO_8859_1)))));
        answer.whenComplete((response, broken) -> {
            calls.add(new Call(
                    id,
                    kind,
                    entry.name(),
                    key,
                    sentAt,
                    holds,
                    response == null ? 0 : response.statusCode(),
                    broken == null,
                    received.toString()));
            open.decrementAndGet();
        });
    }
}

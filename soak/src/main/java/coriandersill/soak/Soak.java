package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One run: entries start, callers call, faults come, and the books are checked. */
final class Soak {
    /** How long calls go on after the last fault, in which the system is to serve as before. */
    private static final Duration TAIL = Duration.ofSeconds(5);

    /** The part of the calls of the tail's end that must be answered with success. */
    private static final double SERVED_PART = 0.6;

    private static final Duration START_LIMIT = Duration.ofSeconds(20);
    private static final int READY = 200;
    private static final int OK = 200;

    private final long seed;
    private final int entryCount;
    private final Duration time;

    private Soak(long seed, int entryCount, Duration time) {
        this.seed = seed;
        this.entryCount = entryCount;
        this.time = time;
    }

    /**
     * What a run has shown.
     *
     * @param calls how many calls were made
     * @param served how many were answered with success
     * @param broken the promises that were broken
     * @param faults the faults that came
     * @param logs where the entries' logs are
     */
    record Report(int calls, long served, List<String> broken, List<String> faults, Path logs) {}

    static Soak of(long seed, int entries, Duration time) {
        return new Soak(seed, entries, time);
    }

    Report run() throws Exception {
        Random random = new Random(seed);
        Path directory = Files.createTempDirectory("coriandersill-soak-" + seed + "-");
        Calm calm = new Calm();
        List<EntryDaemon> entries = new ArrayList<>();
        List<LoopbackProxy> storePaths = new ArrayList<>();
        try (World world = World.start()) {
            for (int i = 0; i < entryCount; i++) {
                LoopbackProxy path =
                        LoopbackProxy.to(world.vertx(), world.store().port());
                EntryDaemon entry = EntryDaemon.create("entry-" + i, directory, path.port());
                storePaths.add(path);
                entries.add(entry);
                entry.start();
            }
            for (EntryDaemon entry : entries) {
                awaitReady(entry);
                calm.over(entry.name());
            }
            return run(world, entries, storePaths, calm, random, directory);
        } finally {
            for (EntryDaemon entry : entries) {
                entry.kill();
            }
        }
    }

    private Report run(
            World world,
            List<EntryDaemon> entries,
            List<LoopbackProxy> storePaths,
            Calm calm,
            Random random,
            Path directory)
            throws Exception {
        Callers callers = new Callers(world, entries, calm, new Random(random.nextLong()));
        Faults faults = new Faults(world, entries, storePaths, calm, new Random(random.nextLong()));
        callers.start();
        faults.start();
        TimeUnit.MILLISECONDS.sleep(time.toMillis());
        List<String> came = faults.stop();
        for (EntryDaemon entry : entries) {
            awaitReady(entry);
        }
        TimeUnit.MILLISECONDS.sleep(TAIL.toMillis());
        long tailFrom = System.nanoTime() - TAIL.toNanos() / 2;
        List<Call> calls = callers.stop();
        List<String> broken =
                new ArrayList<>(Checks.broken(calls, world.upstreams(), world.revokedAt(), world.everyWorkspace()));
        List<Call> tail = calls.stream()
                .filter(call -> call.sentAt() > tailFrom && !world.revokedAt().containsKey(call.key()))
                .toList();
        long tailServed = served(tail);
        if (tailServed < tail.size() * SERVED_PART) {
            broken.add("after the faults " + tailServed + " of " + tail.size() + " calls were served");
        }
        return new Report(calls.size(), served(calls), broken, came, directory);
    }

    private static long served(List<Call> calls) {
        return calls.stream()
                .filter(call -> call.status() == OK && call.whole())
                .count();
    }

    private static void awaitReady(EntryDaemon entry) throws InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (System.nanoTime() < end) {
            try {
                HttpResponse<Void> answer = client.send(
                        PlatformFixtures.readinessRequest(entry.readyPort()), HttpResponse.BodyHandlers.discarding());
                if (answer.statusCode() == READY) {
                    return;
                }
            } catch (IOException notYet) {
                // It listens in a moment, or the time ends below.
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new IllegalStateException(entry.name() + " is not ready after " + START_LIMIT + "; log " + entry.log());
    }
}

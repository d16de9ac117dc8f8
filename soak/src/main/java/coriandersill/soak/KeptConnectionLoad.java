package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that each use one connection to one entry, for call after call, until the entry closes it. */
final class KeptConnectionLoad implements Load {
    /** The callers of all entries together: some more than the engines have slots, however many entries there are. */
    private static final int CALLERS = 16;

    private static final List<CallKind> KINDS =
            List.of(CallKind.DRAFT, CallKind.DRAFT, CallKind.DRAFT, CallKind.TAG, CallKind.LOOK, CallKind.BOOK);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(18);
    private static final int MAX_PAUSE_MILLIS = 120;

    private final SoakEnvironment environment;
    private final DisturbanceTracker disturbances;
    private final List<CallResult> results = new CopyOnWriteArrayList<>();
    private final List<Thread> callers = new ArrayList<>();
    private final AtomicInteger nextCallNumber = new AtomicInteger();
    private volatile boolean stopping;

    KeptConnectionLoad(
            SoakEnvironment environment, List<EntryProcess> entries, DisturbanceTracker disturbances, Random random) {
        this.environment = environment;
        this.disturbances = disturbances;
        for (EntryProcess entry : entries) {
            for (int i = 0; i < CALLERS / entries.size(); i++) {
                Random callerRandom = new Random(random.nextLong());
                Thread caller = new Thread(() -> callUntilStopped(entry, callerRandom), "soak-caller");
                // A run that fails must end.
                caller.setDaemon(true);
                callers.add(caller);
            }
        }
    }

    @Override
    public void start() {
        callers.forEach(Thread::start);
    }

    @Override
    public List<CallResult> stop() throws InterruptedException {
        stopping = true;
        for (Thread caller : callers) {
            caller.join();
        }
        return results;
    }

    private void callUntilStopped(EntryProcess entry, Random random) {
        try {
            while (!stopping) {
                try (KeptConnection connection = KeptConnection.open(entry.port(), (int) READ_TIMEOUT.toMillis())) {
                    while (!stopping && !connection.isCloseAnnounced() && call(entry, connection, random)) {
                        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
                    }
                } catch (IOException notListening) {
                    // Tried again after the pause.
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes a call; returns whether the connection can be used for another one. */
    private boolean call(EntryProcess entry, KeptConnection connection, Random random) {
        CallKind kind = KINDS.get(random.nextInt(KINDS.size()));
        String id = "k" + nextCallNumber.incrementAndGet();
        List<String> keys = environment.activeKeys();
        String key = keys.get(random.nextInt(keys.size()));
        Duration timeout = kind.maxAnswerTime();
        String body = kind == CallKind.LOOK ? null : "prompt of " + id;
        boolean settled = disturbances.isSettled(entry.name());
        boolean complete = false;
        long sentAtNanos = System.nanoTime();
        try {
            connection.send(PlatformFixtures.rawCallRequest(kind.path() + id, id, key, timeout, body));
            sentAtNanos = System.nanoTime();
            connection.receive();
            complete = true;
        } catch (SocketTimeoutException noAnswer) {
            // Not a connection that ended; the deadline has passed.
        } catch (IOException closed) {
            // Recorded as incomplete.
        }
        results.add(new CallResult(
                id,
                kind,
                entry.name(),
                key,
                sentAtNanos,
                System.nanoTime(),
                settled,
                connection.status(),
                complete,
                connection.body()));
        return complete;
    }
}

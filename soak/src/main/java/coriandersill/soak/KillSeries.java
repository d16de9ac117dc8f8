package coriandersill.soak;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Entries that are killed and started again at once, unless they are not ready yet after the last time. */
final class KillSeries implements FaultSeries {
    private static final int MIN_INTERVAL_MILLIS = 3_000;
    private static final int MAX_INTERVAL_MILLIS = 8_000;
    private static final int RESTART_DELAY_MILLIS = 150;
    private static final long STOP_TIMEOUT_SECONDS = 25;

    private final FaultKind.Target target;
    private final Random random;
    private final FaultTimer timer = new FaultTimer();

    KillSeries(FaultKind.Target target, Random random) {
        this.target = target;
        this.random = new Random(random.nextLong());
    }

    @Override
    public void start() {
        timer.schedule(
                "kill",
                MIN_INTERVAL_MILLIS + random.nextInt(MAX_INTERVAL_MILLIS - MIN_INTERVAL_MILLIS),
                this::killNext);
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return timer.stop(STOP_TIMEOUT_SECONDS);
    }

    private void killNext() {
        EntryProcess entry =
                target.entries().get(random.nextInt(target.entries().size()));
        start();
        long now = System.nanoTime();
        if (target.disturbances().isInterrupted(entry.name(), now - 1, now)) {
            return;
        }
        String fault = "kill " + entry.name();
        timer.record(fault);
        target.disturbances().disturbanceStarted(entry.name());
        target.disturbances().interruptionStarted(entry.name());
        timer.scheduleEnd(fault, 0, () -> restart(entry));
    }

    private void restart(EntryProcess entry) throws Exception {
        try {
            entry.kill();
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
            entry.start();
            Soak.awaitReady(entry);
        } finally {
            target.disturbances().interruptionEnded(entry.name());
            target.disturbances().disturbanceEnded(entry.name());
        }
    }
}

package coriandersill.soak;

import java.util.List;
import java.util.Random;

/** Signals to random entries that their settings have changed. */
final class ReloadSeries implements FaultSeries {
    private static final int MIN_INTERVAL_MILLIS = 300;
    private static final int MAX_INTERVAL_MILLIS = 1_500;
    private static final long STOP_TIMEOUT_SECONDS = 6;

    private final FaultKind.Target target;
    private final Random random;
    private final FaultTimer timer = new FaultTimer();

    ReloadSeries(FaultKind.Target target, Random random) {
        this.target = target;
        this.random = new Random(random.nextLong());
    }

    @Override
    public void start() {
        timer.schedule(
                "reload",
                MIN_INTERVAL_MILLIS + random.nextInt(MAX_INTERVAL_MILLIS - MIN_INTERVAL_MILLIS),
                this::reloadNext);
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return timer.stop(STOP_TIMEOUT_SECONDS);
    }

    private void reloadNext() throws Exception {
        EntryProcess entry =
                target.entries().get(random.nextInt(target.entries().size()));
        start();
        long now = System.nanoTime();
        if (target.disturbances().isInterrupted(entry.name(), now - 1, now)) {
            // A process that is not ready yet would end.
            return;
        }
        timer.record("reload " + entry.name());
        target.disturbances().reloadSignalled(entry.name());
        entry.signal("HUP");
    }
}

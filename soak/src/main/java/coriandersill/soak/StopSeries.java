package coriandersill.soak;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Entries that stop at a signal, one soon after the other, at times signalled twice, and beside them reloads and
 * changed configurations. Neither the store nor upstreams are disturbed.
 */
final class StopSeries implements FaultSeries {
    private static final int FIRST_STOP_MILLIS = 3_500;
    private static final int MIN_STOP_INTERVAL_MILLIS = 300;
    private static final int MAX_STOP_INTERVAL_MILLIS = 3_000;
    private static final int MIN_RELOAD_INTERVAL_MILLIS = 300;
    private static final int MAX_RELOAD_INTERVAL_MILLIS = 1_500;
    private static final int MAX_SECOND_SIGNAL_MILLIS = 3_000;
    private static final int RESTART_DELAY_MILLIS = 150;

    /** How long an entry may take to exit after SIGTERM before it is killed: longer than its grace period. */
    private static final long STOP_TIMEOUT_SECONDS = 10;

    private static final long STOP_MARGIN_SECONDS = 8;

    private final FaultKind.Target target;
    private final Random stopRandom;
    private final Random reloadRandom;
    private final FaultTimer timer = new FaultTimer();

    /** By entry index: whether a stop of the entry is in progress. */
    private final boolean[] reserved;

    /** By entry index: whether a process was started that is not ready yet, which a signal would end for good. */
    private final boolean[] starting;

    StopSeries(FaultKind.Target target, Random random) {
        this.target = target;
        this.stopRandom = new Random(random.nextLong());
        this.reloadRandom = new Random(random.nextLong());
        this.reserved = new boolean[target.entries().size()];
        this.starting = new boolean[target.entries().size()];
    }

    @Override
    public void start() {
        timer.schedule("first stop", FIRST_STOP_MILLIS, this::stopNext);
        timer.schedule("first reload", MIN_RELOAD_INTERVAL_MILLIS, this::reloadNext);
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return timer.stop(STOP_TIMEOUT_SECONDS + STOP_MARGIN_SECONDS);
    }

    private void stopNext() throws Exception {
        int index = stopRandom.nextInt(target.entries().size());
        boolean twice = stopRandom.nextBoolean();
        int secondMillis = stopRandom.nextInt(MAX_SECOND_SIGNAL_MILLIS);
        timer.schedule(
                "next stop",
                MIN_STOP_INTERVAL_MILLIS + stopRandom.nextInt(MAX_STOP_INTERVAL_MILLIS - MIN_STOP_INTERVAL_MILLIS),
                this::stopNext);
        if (!tryReserve(index)) {
            return;
        }
        EntryProcess entry = target.entries().get(index);
        String fault = "stop " + entry.name() + (twice ? ", signalled again after " + secondMillis + " ms" : "");
        timer.record(fault);
        target.disturbances().disturbanceStarted(entry.name());
        target.disturbances().stopSignalled(entry.name());
        long pid = entry.pid();
        entry.signal("TERM");
        if (twice) {
            timer.scheduleEnd(fault, secondMillis, () -> {
                // A process that was started meanwhile must not hear the signal: nobody would start it again.
                if (entry.isAlive() && entry.pid() == pid) {
                    entry.signal("TERM");
                }
            });
        }
        timer.scheduleEnd(fault, 0, () -> restart(entry, index));
    }

    private void restart(EntryProcess entry, int index) throws Exception {
        try {
            if (!entry.awaitExit(STOP_TIMEOUT_SECONDS)) {
                timer.record(entry.name() + " did not exit within " + STOP_TIMEOUT_SECONDS + " s of SIGTERM; killed");
            }
            entry.kill();
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
            setStarting(index, true);
            entry.start();
            Soak.awaitReady(entry);
        } finally {
            setStarting(index, false);
            target.disturbances().disturbanceEnded(entry.name());
            release(index);
        }
    }

    /** Publishes a changed configuration, or signals an entry that its settings have changed, or both. */
    private void reloadNext() throws Exception {
        int choice = reloadRandom.nextInt(3);
        int index = reloadRandom.nextInt(target.entries().size());
        EntryProcess entry = target.entries().get(index);
        timer.schedule(
                "next reload",
                MIN_RELOAD_INTERVAL_MILLIS
                        + reloadRandom.nextInt(MAX_RELOAD_INTERVAL_MILLIS - MIN_RELOAD_INTERVAL_MILLIS),
                this::reloadNext);
        if (choice > 0) {
            timer.record("new configuration");
            target.environment().addKey();
        }
        if (choice < 2 && entry.isAlive() && !isStarting(index)) {
            timer.record("reload " + entry.name());
            target.disturbances().reloadSignalled(entry.name());
            entry.signal("HUP");
        }
    }

    private synchronized boolean tryReserve(int index) {
        boolean free = !reserved[index];
        reserved[index] = true;
        return free;
    }

    private synchronized void setStarting(int index, boolean value) {
        starting[index] = value;
    }

    private synchronized boolean isStarting(int index) {
        return starting[index];
    }

    private synchronized void release(int index) {
        reserved[index] = false;
    }
}

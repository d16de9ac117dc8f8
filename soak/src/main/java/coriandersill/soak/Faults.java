package coriandersill.soak;

import coriandersill.platform.StandInStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Disturbs entries, the store and upstreams in series that overlap, as its seed decides; each fault ends by itself. */
final class Faults {
    private static final List<StandInStore.ResponseMode> MOODS = List.of(
            StandInStore.ResponseMode.SILENT, StandInStore.ResponseMode.REFUSING, StandInStore.ResponseMode.RESETTING);
    private static final List<LoopbackProxy.Manner> MANNERS = List.of(
            LoopbackProxy.Manner.DELAY,
            LoopbackProxy.Manner.RESET,
            LoopbackProxy.Manner.SILENT,
            LoopbackProxy.Manner.NO_ANSWERS);
    private static final int SHORTEST_PAUSE_MILLIS = 250;
    private static final int LONGEST_PAUSE_MILLIS = 900;
    private static final int SHORTEST_FAULT_MILLIS = 300;
    private static final int LONGEST_FAULT_MILLIS = 2_000;

    /** How long an upstream serves after it was listed as leaving. */
    private static final long LEAVING_MILLIS = 3_000;

    /** How long an engine that is reclaimed serves after its notice. */
    private static final long RECLAIM_MILLIS = 1_600;

    private static final long STOP_SECONDS = 12;
    private static final int RESTART_MILLIS = 150;
    private static final int FEWEST_KEYS = 2;

    private final World world;
    private final List<EntryDaemon> entries;
    private final List<LoopbackProxy> storeProxies;
    private final Calm calm;
    private final Random random;
    private final List<String> log = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
    private final boolean[] busy;
    private final long began = System.nanoTime();
    private volatile boolean over;

    Faults(World world, List<EntryDaemon> entries, List<LoopbackProxy> storeProxies, Calm calm, Random random) {
        this.world = world;
        this.entries = entries;
        this.storeProxies = storeProxies;
        this.calm = calm;
        this.random = random;
        this.busy = new boolean[entries.size()];
    }

    void start() {
        timer.schedule(this::next, SHORTEST_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Begins no more faults, and waits until those that last are over. */
    List<String> stop() throws InterruptedException {
        over = true;
        timer.shutdown();
        timer.awaitTermination(STOP_SECONDS + 5, TimeUnit.SECONDS);
        return log;
    }

    private void next() {
        if (over) {
            return;
        }
        int millis = between(SHORTEST_FAULT_MILLIS, LONGEST_FAULT_MILLIS);
        try {
            begin(random.nextInt(10), millis);
        } catch (Exception failed) {
            note("a fault could not begin: " + failed);
        }
        timer.schedule(this::next, between(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS), TimeUnit.MILLISECONDS);
    }

    private void begin(int fault, int millis) throws Exception {
        switch (fault) {
            case 0, 1 -> restart(random.nextInt(entries.size()), random.nextBoolean());
            case 2 -> pause(random.nextInt(entries.size()), millis);
            case 3, 4 -> storePath(random.nextInt(entries.size()), manner(), millis);
            case 5 -> storeMood(millis);
            case 6 -> upstreamPath(manner(), millis);
            case 7 -> replace(Upstream.ENGINE, RECLAIM_MILLIS);
            case 8 -> replace(Upstream.PLAIN, random.nextBoolean() ? LEAVING_MILLIS : 0);
            default -> changeKeys();
        }
    }

    /** Stops or kills an entry and starts it again; one at a time for each entry. */
    private void restart(int index, boolean planned) {
        if (!claim(index)) {
            return;
        }
        EntryDaemon entry = entries.get(index);
        note((planned ? "stop " : "kill ") + entry.name());
        calm.disturbed(entry.name());
        timer.schedule(
                () -> {
                    try {
                        if (planned) {
                            entry.signal("TERM");
                            if (!entry.ended(STOP_SECONDS)) {
                                note(entry.name() + " did not stop");
                            }
                        }
                        entry.kill();
                        TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
                        entry.start();
                    } catch (Exception failed) {
                        note(entry.name() + " was not restarted: " + failed);
                    }
                    release(index);
                },
                0,
                TimeUnit.MILLISECONDS);
    }

    private void pause(int index, int millis) throws Exception {
        if (!claim(index)) {
            return;
        }
        EntryDaemon entry = entries.get(index);
        note("pause " + entry.name() + " " + millis);
        calm.disturbed(entry.name());
        entry.signal("STOP");
        later(millis, () -> {
            entry.signal("CONT");
            release(index);
        });
    }

    private void storePath(int index, LoopbackProxy.Manner manner, int millis) {
        String name = entries.get(index).name();
        note("store path of " + name + " " + manner + " " + millis);
        calm.disturbed(name);
        storeProxies.get(index).manner(manner);
        later(millis, () -> {
            storeProxies.get(index).manner(LoopbackProxy.Manner.PASS);
            calm.over(name);
        });
    }

    private void storeMood(int millis) {
        StandInStore.ResponseMode mood = MOODS.get(random.nextInt(MOODS.size()));
        note("store " + mood + " " + millis);
        entries.forEach(entry -> calm.disturbed(entry.name()));
        world.store().setResponseMode(mood);
        later(millis, () -> {
            world.store().setResponseMode(StandInStore.ResponseMode.SERVING);
            entries.forEach(entry -> calm.over(entry.name()));
        });
    }

    private void upstreamPath(LoopbackProxy.Manner manner, int millis) {
        List<Upstream> staying = world.staying(random.nextBoolean() ? Upstream.PLAIN : Upstream.ENGINE);
        Upstream upstream = staying.get(random.nextInt(staying.size()));
        note("path of " + upstream.id() + " " + manner + " " + millis);
        upstream.proxy().manner(manner);
        later(millis, () -> upstream.proxy().manner(LoopbackProxy.Manner.PASS));
    }

    /** Replaces an upstream: after a notice, or without one where {@code noticeMillis} is 0. */
    private void replace(String service, long noticeMillis) throws Exception {
        List<Upstream> staying = world.staying(service);
        if (staying.size() < 2) {
            return;
        }
        Upstream upstream = staying.get(random.nextInt(staying.size()));
        note((noticeMillis > 0 ? "leaves " : "crashes ") + upstream.id());
        if (noticeMillis > 0) {
            world.leaves(upstream);
        } else {
            upstream.leaves();
            upstream.end();
        }
        world.addUpstream(service);
        later(Math.max(noticeMillis, LEAVING_MILLIS / 3), () -> {
            world.unlist(upstream);
            if (noticeMillis > 0) {
                upstream.end();
            }
        });
    }

    private void changeKeys() {
        List<String> keys = world.keys();
        if (keys.size() > FEWEST_KEYS) {
            String key = keys.get(random.nextInt(keys.size()));
            note("revoke " + key);
            world.revoke(key);
        }
        world.addKey();
    }

    private LoopbackProxy.Manner manner() {
        return MANNERS.get(random.nextInt(MANNERS.size()));
    }

    private synchronized boolean claim(int index) {
        boolean free = !busy[index];
        busy[index] = true;
        return free;
    }

    private synchronized void release(int index) {
        busy[index] = false;
        calm.over(entries.get(index).name());
    }

    /** What ends a fault. */
    private interface End {
        void run() throws Exception;
    }

    private void later(long millis, End end) {
        timer.schedule(
                () -> {
                    try {
                        end.run();
                    } catch (Exception failed) {
                        note("a fault could not end: " + failed);
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private int between(int least, int most) {
        return least + random.nextInt(most - least);
    }

    private synchronized void note(String what) {
        log.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) + " ms: " + what);
    }
}

package coriandersill.soak;

import coriandersill.platform.StandInStore;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Injects overlapping faults into entries, the store and upstreams in an order fixed by the seed; each fault ends after
 * a limited time, so that recovery can be checked.
 */
final class FaultInjector implements FaultSeries {
    private static final List<StandInStore.ResponseMode> STORE_FAULTS = List.of(
            StandInStore.ResponseMode.SILENT, StandInStore.ResponseMode.REFUSING, StandInStore.ResponseMode.RESETTING);
    private static final List<LoopbackProxy.Mode> PROXY_FAULTS = List.of(
            LoopbackProxy.Mode.DELAY,
            LoopbackProxy.Mode.RESET,
            LoopbackProxy.Mode.SILENT,
            LoopbackProxy.Mode.NO_ANSWERS);
    private static final int MIN_FAULT_INTERVAL_MILLIS = 250;
    private static final int MAX_FAULT_INTERVAL_MILLIS = 900;
    private static final int MIN_FAULT_DURATION_MILLIS = 300;
    private static final int MAX_FAULT_DURATION_MILLIS = 2_000;

    /** How long a plain upstream keeps serving after it is listed as leaving. */
    private static final long DRAIN_NOTICE_MILLIS = 3_000;

    /** How long an engine keeps serving after it is listed as leaving, as for a reclaimed spot machine. */
    private static final long RECLAIM_NOTICE_MILLIS = 1_600;

    /** How long a crashed upstream stays listed. */
    private static final long CRASHED_LISTING_MILLIS = 1_000;

    private static final int STATEMENT_INTERVAL_MILLIS = 1_700;
    private static final int MAX_QUIET_SECONDS = 3;

    /** How long an upstream refuses calls with a quiet time. */
    private static final long REFUSING_MILLIS = 400;

    /** How long an upstream keeps serving, listed as ready, after it began to say that it leaves. */
    private static final long SAID_LEAVING_MILLIS = 6_000;

    /** The number of cases of {@link #inject}, numbered from 0; a fault with two cases is twice as likely. */
    private static final int FAULT_CHOICES = 10;

    /** How long an entry may take to exit after SIGTERM before it is killed. */
    private static final long STOP_TIMEOUT_SECONDS = 12;

    /** How much longer than {@link #STOP_TIMEOUT_SECONDS} to wait for the active faults to end. */
    private static final long STOP_MARGIN_SECONDS = 5;

    private static final int RESTART_DELAY_MILLIS = 150;

    /** Keys are revoked only as long as at least this many stay active. */
    private static final int MIN_ACTIVE_KEYS = 2;

    private final SoakEnvironment environment;
    private final List<EntryProcess> entries;
    private final List<LoopbackProxy> storeProxies;
    private final DisturbanceTracker disturbances;
    private final Random random;

    /** Draws what upstreams say of themselves, apart from the faults, so that these stay as they were for a seed. */
    private final Random statementRandom;

    private final FaultTimer timer = new FaultTimer();

    /** By entry index: whether a restart or pause of the entry is in progress. */
    private final boolean[] entryReserved;

    FaultInjector(
            SoakEnvironment environment,
            List<EntryProcess> entries,
            List<LoopbackProxy> storeProxies,
            DisturbanceTracker disturbances,
            Random random,
            Random statementRandom) {
        this.environment = environment;
        this.entries = entries;
        this.storeProxies = storeProxies;
        this.disturbances = disturbances;
        this.random = random;
        this.statementRandom = statementRandom;
        this.entryReserved = new boolean[entries.size()];
    }

    @Override
    public void start() {
        timer.schedule("the first fault", MIN_FAULT_INTERVAL_MILLIS, this::injectNext);
        timer.schedule("the first statement", STATEMENT_INTERVAL_MILLIS, this::injectStatement);
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return timer.stop(STOP_TIMEOUT_SECONDS + STOP_MARGIN_SECONDS);
    }

    private void injectNext() {
        int durationMillis = randomBetween(MIN_FAULT_DURATION_MILLIS, MAX_FAULT_DURATION_MILLIS);
        int faultNumber = random.nextInt(FAULT_CHOICES);
        try {
            inject(faultNumber, durationMillis);
        } catch (Exception e) {
            record("failed to inject fault number " + faultNumber + ": " + e);
        }
        timer.schedule(
                "the next fault",
                randomBetween(MIN_FAULT_INTERVAL_MILLIS, MAX_FAULT_INTERVAL_MILLIS),
                this::injectNext);
    }

    /** Makes a plain upstream say that it leaves, while its listing calls it ready, or ask for a quiet time. */
    private void injectStatement() {
        List<Upstream> candidates = environment.remainingUpstreams(Upstream.PLAIN_SERVICE);
        Upstream upstream = candidates.get(statementRandom.nextInt(candidates.size()));
        try {
            if (statementRandom.nextBoolean() && candidates.size() > 1) {
                sayLeaving(upstream);
            } else {
                askForQuiet(upstream, 1 + statementRandom.nextInt(MAX_QUIET_SECONDS));
            }
        } catch (Exception e) {
            record("failed to make " + upstream.id() + " say something: " + e);
        }
        timer.schedule("the next statement", STATEMENT_INTERVAL_MILLIS, this::injectStatement);
    }

    private void sayLeaving(Upstream upstream) throws Exception {
        String fault = upstream.id() + " says that it leaves";
        record(fault);
        upstream.sayLeaving();
        environment.addUpstream(Upstream.PLAIN_SERVICE);
        timer.scheduleEnd(fault, SAID_LEAVING_MILLIS, () -> {
            environment.removeListing(upstream);
            upstream.close();
        });
    }

    private void askForQuiet(Upstream upstream, int seconds) {
        String fault = upstream.id() + " asks for " + seconds + " s without requests";
        record(fault);
        upstream.refuseAndAskForQuiet(seconds);
        timer.scheduleEnd(fault, REFUSING_MILLIS, () -> upstream.refuseAndAskForQuiet(0));
    }

    private void inject(int faultNumber, int durationMillis) throws Exception {
        switch (faultNumber) {
            case 0, 1 -> restart(random.nextInt(entries.size()), random.nextBoolean());
            case 2 -> pause(random.nextInt(entries.size()), durationMillis);
            case 3, 4 -> disturbStoreConnection(random.nextInt(entries.size()), randomProxyFault(), durationMillis);
            case 5 -> disturbStore(durationMillis);
            case 6 -> disturbUpstreamConnection(randomProxyFault(), durationMillis);
            case 7 -> replace(Upstream.ENGINE_SERVICE, RECLAIM_NOTICE_MILLIS);
            case 8 -> replace(Upstream.PLAIN_SERVICE, random.nextBoolean() ? DRAIN_NOTICE_MILLIS : 0);
            default -> changeKeys();
        }
    }

    /** Stops or kills an entry and starts it again, unless another restart or pause of the entry is in progress. */
    private void restart(int index, boolean graceful) {
        if (!tryReserve(index)) {
            return;
        }
        EntryProcess entry = entries.get(index);
        record((graceful ? "stop " : "kill ") + entry.name());
        disturbances.disturbanceStarted(entry.name());
        disturbances.interruptionStarted(entry.name());
        timer.scheduleEnd("restart of " + entry.name(), 0, () -> {
            try {
                if (graceful) {
                    entry.signal("TERM");
                    if (!entry.awaitExit(STOP_TIMEOUT_SECONDS)) {
                        record(entry.name() + " did not exit within " + STOP_TIMEOUT_SECONDS
                                + " s of SIGTERM; killing it");
                    }
                }
                entry.kill();
                TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
                entry.start();
            } finally {
                release(index);
            }
        });
    }

    private void pause(int index, int durationMillis) throws Exception {
        if (!tryReserve(index)) {
            return;
        }
        EntryProcess entry = entries.get(index);
        String fault = "pause " + entry.name() + " for " + durationMillis + " ms";
        record(fault);
        disturbances.disturbanceStarted(entry.name());
        disturbances.interruptionStarted(entry.name());
        entry.signal("STOP");
        timer.scheduleEnd(fault, durationMillis, () -> {
            entry.signal("CONT");
            release(index);
        });
    }

    private void disturbStoreConnection(int index, LoopbackProxy.Mode mode, int durationMillis) {
        String name = entries.get(index).name();
        String fault = "store connection of " + name + " " + mode + " for " + durationMillis + " ms";
        record(fault);
        disturbances.disturbanceStarted(name);
        storeProxies.get(index).setMode(mode);
        timer.scheduleEnd(fault, durationMillis, () -> {
            storeProxies.get(index).setMode(LoopbackProxy.Mode.PASS);
            disturbances.disturbanceEnded(name);
        });
    }

    private void disturbStore(int durationMillis) {
        StandInStore.ResponseMode mode = STORE_FAULTS.get(random.nextInt(STORE_FAULTS.size()));
        String fault = "store " + mode + " for " + durationMillis + " ms";
        record(fault);
        entries.forEach(entry -> disturbances.disturbanceStarted(entry.name()));
        environment.store().setResponseMode(mode);
        timer.scheduleEnd(fault, durationMillis, () -> {
            environment.store().setResponseMode(StandInStore.ResponseMode.SERVING);
            entries.forEach(entry -> disturbances.disturbanceEnded(entry.name()));
        });
    }

    private void disturbUpstreamConnection(LoopbackProxy.Mode mode, int durationMillis) {
        List<Upstream> candidates =
                environment.remainingUpstreams(random.nextBoolean() ? Upstream.PLAIN_SERVICE : Upstream.ENGINE_SERVICE);
        Upstream upstream = candidates.get(random.nextInt(candidates.size()));
        String fault = "connection of " + upstream.id() + " " + mode + " for " + durationMillis + " ms";
        record(fault);
        disturbances.interruptionStarted(upstream.id());
        upstream.proxy().setMode(mode);
        timer.scheduleEnd(fault, durationMillis, () -> {
            upstream.proxy().setMode(LoopbackProxy.Mode.PASS);
            disturbances.interruptionEnded(upstream.id());
        });
    }

    /** Replaces an upstream, which is first listed as leaving; if {@code noticeMillis} is 0, it crashes instead. */
    private void replace(String service, long noticeMillis) throws Exception {
        List<Upstream> candidates = environment.remainingUpstreams(service);
        if (candidates.size() < 2) {
            return;
        }
        Upstream upstream = candidates.get(random.nextInt(candidates.size()));
        String fault = (noticeMillis > 0 ? "drain " : "crash ") + upstream.id();
        record(fault);
        if (noticeMillis > 0) {
            environment.markLeaving(upstream);
        } else {
            // A crash is not listed. The mark excludes the upstream from further faults and makes ResultChecker report
            // later calls to it.
            upstream.markLeaving();
            upstream.close();
        }
        environment.addUpstream(service);
        timer.scheduleEnd(fault, Math.max(noticeMillis, CRASHED_LISTING_MILLIS), () -> {
            environment.removeListing(upstream);
            if (noticeMillis > 0) {
                upstream.close();
            }
        });
    }

    private void changeKeys() {
        List<String> keys = environment.activeKeys();
        if (keys.size() > MIN_ACTIVE_KEYS) {
            String key = keys.get(random.nextInt(keys.size()));
            record("revoke " + key);
            environment.revokeKey(key);
        }
        environment.addKey();
    }

    private LoopbackProxy.Mode randomProxyFault() {
        return PROXY_FAULTS.get(random.nextInt(PROXY_FAULTS.size()));
    }

    /** Reserves an entry for a restart or pause; returns false if it is already reserved. */
    private synchronized boolean tryReserve(int index) {
        boolean free = !entryReserved[index];
        entryReserved[index] = true;
        return free;
    }

    /** Ends the reservation and the disturbance of an entry. */
    private synchronized void release(int index) {
        entryReserved[index] = false;
        disturbances.interruptionEnded(entries.get(index).name());
        disturbances.disturbanceEnded(entries.get(index).name());
    }

    private int randomBetween(int min, int max) {
        return min + random.nextInt(max - min);
    }

    private void record(String event) {
        timer.record(event);
    }
}

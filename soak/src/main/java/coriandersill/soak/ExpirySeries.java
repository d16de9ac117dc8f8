package coriandersill.soak;

import coriandersill.platform.StandInStore;
import coriandersill.platform.StoreTimes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Outages of the store, some soon after each other, in which listings expire whose upstreams are there and renew them
 * afterwards; and upstreams that renew their listing no more without a word, but serve on until the end.
 */
final class ExpirySeries implements FaultSeries {
    private static final List<StandInStore.ResponseMode> OUTAGES = List.of(
            StandInStore.ResponseMode.SILENT, StandInStore.ResponseMode.REFUSING, StandInStore.ResponseMode.RESETTING);
    private static final int MAX_FIRST_OUTAGE_MILLIS = 3_000;
    private static final int MIN_OUTAGE_MILLIS = 300;
    private static final int MAX_OUTAGE_MILLIS = 4_500;

    /** Of this many outages, one is soon followed by the next. */
    private static final int OUTAGES_PER_EARLY_ONE = 3;

    private static final int MAX_EARLY_INTERVAL_MILLIS = 1_000;

    /** Times between other outages: the store is stable for some seconds of them. */
    private static final int MIN_OUTAGE_INTERVAL_MILLIS = 5_000;

    private static final int MAX_OUTAGE_INTERVAL_MILLIS = 9_000;
    private static final int MIN_VANISH_INTERVAL_MILLIS = 250;
    private static final int MAX_VANISH_INTERVAL_MILLIS = 900;
    private static final long RENEWAL_CHECK_MILLIS = 50;
    private static final long STOP_TIMEOUT_SECONDS = 8;

    private final SoakEnvironment environment;
    private final FaultKind.Target target;
    private final Random outageRandom;
    private final Random vanishRandom;
    private final Random renewalRandom;
    private final FaultTimer timer = new FaultTimer();

    /** By upstream: when its next renewal is due, and when its listing expires; used by one step at a time. */
    private final Map<Upstream, Renewal> renewals = new HashMap<>();

    private volatile boolean storeAvailable = true;

    /** The renewals of one listing. */
    private static final class Renewal {
        private long dueAtNanos;
        private long expiresAtNanos;
        private boolean expired;
    }

    ExpirySeries(FaultKind.Target target, Random random) {
        this.environment = target.environment();
        this.target = target;
        this.outageRandom = new Random(random.nextLong());
        this.vanishRandom = new Random(random.nextLong());
        this.renewalRandom = new Random(random.nextLong());
    }

    @Override
    public void start() {
        renewListings();
        timer.schedule("first outage", 1 + outageRandom.nextInt(MAX_FIRST_OUTAGE_MILLIS), this::failNext);
        scheduleVanishing();
    }

    @Override
    public List<String> stop() throws InterruptedException {
        List<String> faults = timer.stop(STOP_TIMEOUT_SECONDS);
        synchronized (this) {
            renewals.keySet().stream()
                    .filter(upstream -> !upstream.hasEndedReports())
                    .forEach(environment::renewListing);
        }
        return faults;
    }

    private void failNext() {
        StandInStore.ResponseMode mode = OUTAGES.get(outageRandom.nextInt(OUTAGES.size()));
        int durationMillis = between(outageRandom, MIN_OUTAGE_MILLIS, MAX_OUTAGE_MILLIS);
        boolean early = outageRandom.nextInt(OUTAGES_PER_EARLY_ONE) == 0;
        int pauseMillis = early
                ? 1 + outageRandom.nextInt(MAX_EARLY_INTERVAL_MILLIS)
                : between(outageRandom, MIN_OUTAGE_INTERVAL_MILLIS, MAX_OUTAGE_INTERVAL_MILLIS);
        String fault = "store " + mode + " for " + durationMillis + " ms";
        timer.record(fault);
        target.entries().forEach(entry -> target.disturbances().disturbanceStarted(entry.name()));
        target.disturbances().interruptionStarted(SoakEnvironment.STORE);
        storeAvailable = false;
        environment.store().setResponseMode(mode);
        timer.scheduleEnd(fault, durationMillis, () -> {
            environment.store().setResponseMode(StandInStore.ResponseMode.SERVING);
            storeAvailable = true;
            target.disturbances().interruptionEnded(SoakEnvironment.STORE);
            target.entries().forEach(entry -> target.disturbances().disturbanceEnded(entry.name()));
        });
        timer.schedule("outage", (long) durationMillis + pauseMillis, this::failNext);
    }

    private void scheduleVanishing() {
        timer.schedule(
                "vanishing",
                between(vanishRandom, MIN_VANISH_INTERVAL_MILLIS, MAX_VANISH_INTERVAL_MILLIS),
                this::vanishNext);
    }

    private void vanishNext() throws Exception {
        String service = vanishRandom.nextBoolean() ? Upstream.PLAIN_SERVICE : Upstream.ENGINE_SERVICE;
        int choice = vanishRandom.nextInt(Integer.MAX_VALUE);
        scheduleVanishing();
        List<Upstream> candidates = environment.remainingUpstreams(service);
        Upstream upstream = candidates.get(choice % candidates.size());
        timer.record(upstream.id() + " renews its listing no more");
        upstream.endReports();
        environment.addUpstream(service);
    }

    /** Renews the listings that are due while the store is available, and lets others expire. */
    private synchronized void renewListings() {
        long now = System.nanoTime();
        environment.upstreams().forEach(upstream -> renewOrExpire(upstream, now));
        timer.schedule("renewals", RENEWAL_CHECK_MILLIS, this::renewListings);
    }

    private void renewOrExpire(Upstream upstream, long now) {
        Renewal renewal = renewals.computeIfAbsent(upstream, added -> firstRenewal(now));
        if (now - renewal.dueAtNanos >= 0) {
            renewal.dueAtNanos += StoreTimes.renewalInterval().toNanos();
            if (storeAvailable && !upstream.hasEndedReports()) {
                environment.renewListing(upstream);
                renewal.expiresAtNanos = now + StoreTimes.expiryTime().toNanos();
                renewal.expired = false;
            }
        }
        if (!renewal.expired && now - renewal.expiresAtNanos >= 0) {
            timer.record("listing of " + upstream.id() + " expires");
            environment.expireListing(upstream);
            renewal.expired = true;
        }
    }

    private Renewal firstRenewal(long now) {
        Renewal renewal = new Renewal();
        renewal.dueAtNanos = now
                + (long) (renewalRandom.nextDouble()
                        * StoreTimes.renewalInterval().toNanos());
        renewal.expiresAtNanos = now + StoreTimes.expiryTime().toNanos();
        return renewal;
    }

    private static int between(Random random, int min, int max) {
        return min + random.nextInt(max - min);
    }
}

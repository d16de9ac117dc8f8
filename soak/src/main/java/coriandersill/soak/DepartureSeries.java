package coriandersill.soak;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Random;

/**
 * Records of another writer on all topics that entries read, some in place of a living upstream's listing, and beside
 * them upstreams that leave one after the other. Neither entries nor the store are disturbed.
 */
final class DepartureSeries implements FaultSeries {
    private static final int MAX_RECORDS_PER_STEP = 6;
    private static final int MIN_RECORD_INTERVAL_MILLIS = 100;
    private static final int MAX_RECORD_INTERVAL_MILLIS = 400;
    private static final int MIN_DEPARTURE_INTERVAL_MILLIS = 400;
    private static final int MAX_DEPARTURE_INTERVAL_MILLIS = 1_000;

    /** Of this many steps, one replaces the listing of a living upstream. */
    private static final int STEPS_PER_REPLACED_LISTING = 6;

    /** How long an odd record may stand in place of a listing: less than an upstream's interval between reports. */
    private static final int MAX_REPLACED_MILLIS = 1_000;

    /** How long upstreams serve after they were listed as leaving: the time that entries have, and more. */
    private static final int MIN_SERVICE_MILLIS = 2_500;

    private static final int MAX_SERVICE_MILLIS = 7_000;
    private static final long STOP_TIMEOUT_SECONDS = 12;

    private final SoakEnvironment environment;
    private final Random recordRandom;
    private final Random departureRandom;
    private final FaultTimer timer = new FaultTimer();

    DepartureSeries(SoakEnvironment environment, Random random) {
        this.environment = environment;
        this.recordRandom = new Random(random.nextLong());
        this.departureRandom = new Random(random.nextLong());
    }

    @Override
    public void start() {
        writeNextRecords();
        scheduleDeparture();
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return timer.stop(STOP_TIMEOUT_SECONDS);
    }

    private void writeNextRecords() {
        int count = 1 + recordRandom.nextInt(MAX_RECORDS_PER_STEP);
        for (int i = 0; i < count; i++) {
            OddRecord odd = OddRecord.draw(recordRandom);
            timer.record(odd.description());
            environment.store().put(odd.topic(), odd.key(), odd.value());
        }
        int choice = recordRandom.nextInt();
        int replacedMillis = 1 + recordRandom.nextInt(MAX_REPLACED_MILLIS);
        Buffer value = OddRecord.drawValue(recordRandom);
        if (recordRandom.nextInt(STEPS_PER_REPLACED_LISTING) == 0) {
            replaceListing(choice, value, replacedMillis);
        }
        timer.schedule(
                "odd records",
                between(recordRandom, MIN_RECORD_INTERVAL_MILLIS, MAX_RECORD_INTERVAL_MILLIS),
                this::writeNextRecords);
    }

    /** Replaces the listing of a living upstream until its next report. */
    private void replaceListing(int choice, Buffer value, int replacedMillis) {
        List<Upstream> candidates =
                environment.remainingUpstreams(choice % 2 == 0 ? Upstream.PLAIN_SERVICE : Upstream.ENGINE_SERVICE);
        Upstream upstream = candidates.get(Math.floorMod(choice, candidates.size()));
        String fault = value.length() + " odd bytes as the listing of " + upstream.id();
        timer.record(fault);
        environment.replaceListing(upstream, value);
        timer.scheduleEnd(fault, replacedMillis, () -> environment.republishListing(upstream));
    }

    private void scheduleDeparture() {
        timer.schedule(
                "departure",
                between(departureRandom, MIN_DEPARTURE_INTERVAL_MILLIS, MAX_DEPARTURE_INTERVAL_MILLIS),
                this::departNext);
    }

    private void departNext() throws Exception {
        String service = departureRandom.nextBoolean() ? Upstream.PLAIN_SERVICE : Upstream.ENGINE_SERVICE;
        int choice = departureRandom.nextInt(Integer.MAX_VALUE);
        boolean announced = departureRandom.nextInt(3) > 0;
        int serviceMillis = between(departureRandom, MIN_SERVICE_MILLIS, MAX_SERVICE_MILLIS);
        scheduleDeparture();
        List<Upstream> candidates = environment.remainingUpstreams(service);
        Upstream upstream = candidates.get(choice % candidates.size());
        String fault =
                (announced ? "drain " : "remove ") + upstream.id() + ", which serves for " + serviceMillis + " ms";
        timer.record(fault);
        if (announced) {
            environment.markLeaving(upstream);
        } else {
            upstream.markLeaving();
            environment.removeListing(upstream);
        }
        environment.addUpstream(service);
        timer.scheduleEnd(fault, serviceMillis, () -> {
            environment.removeListing(upstream);
            upstream.close();
        });
    }

    private static int between(Random random, int min, int max) {
        return min + random.nextInt(max - min);
    }
}

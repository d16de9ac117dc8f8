package coriandersill.soak;

import java.util.List;
import java.util.Random;

/**
 * Storms of large configurations and of large records of another writer under the same keys. Neither entries nor the
 * store are disturbed.
 */
final class FloodSeries implements FaultSeries {
    private static final int MIN_PAUSE_MILLIS = 500;
    private static final int MAX_PAUSE_MILLIS = 2_500;
    private static final int MIN_STORM_VERSIONS = 5;
    private static final int MAX_STORM_VERSIONS = 25;
    private static final int MIN_VERSION_INTERVAL_MILLIS = 20;
    private static final int MAX_VERSION_INTERVAL_MILLIS = 150;

    /** Of this many versions, one adds a key. */
    private static final int VERSIONS_PER_CHANGED_KEY = 12;

    /** Of this many keys that are added, one replaces another one. */
    private static final int ADDED_KEYS_PER_REVOKED_ONE = 4;

    private static final int MAX_REPEATS = 12;
    private static final long STOP_TIMEOUT_SECONDS = 6;

    private final SoakEnvironment environment;
    private final Random configurationRandom;
    private final Random recordRandom;
    private final FaultTimer timer = new FaultTimer();

    FloodSeries(SoakEnvironment environment, Random random) {
        this.environment = environment;
        this.configurationRandom = new Random(random.nextLong());
        this.recordRandom = new Random(random.nextLong());
    }

    @Override
    public void start() {
        scheduleStorm();
        scheduleRecords();
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return timer.stop(STOP_TIMEOUT_SECONDS);
    }

    private void scheduleStorm() {
        timer.schedule("storm", between(configurationRandom, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS), () -> {
            int versions = between(configurationRandom, MIN_STORM_VERSIONS, MAX_STORM_VERSIONS);
            timer.record(versions + " large configurations");
            publishLarge(versions);
        });
    }

    private void publishLarge(int versions) {
        if (versions == 0) {
            scheduleStorm();
            return;
        }
        if (configurationRandom.nextInt(VERSIONS_PER_CHANGED_KEY) == 0) {
            changeKeys();
        }
        environment.publishLargeConfiguration(configurationRandom.nextLong());
        timer.schedule(
                "large configuration",
                between(configurationRandom, MIN_VERSION_INTERVAL_MILLIS, MAX_VERSION_INTERVAL_MILLIS),
                () -> publishLarge(versions - 1));
    }

    private void changeKeys() {
        List<String> keys = environment.activeKeys();
        if (configurationRandom.nextInt(ADDED_KEYS_PER_REVOKED_ONE) == 0) {
            environment.revokeKey(keys.get(configurationRandom.nextInt(keys.size())));
        }
        environment.addKey();
    }

    private void scheduleRecords() {
        timer.schedule(
                "large odd records", between(recordRandom, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS), this::repeatNextRecord);
    }

    /** Writes a record again and again, with another value each time. */
    private void repeatNextRecord() {
        int repeats = 1 + recordRandom.nextInt(MAX_REPEATS);
        OddRecord odd = OddRecord.drawLarge(recordRandom);
        timer.record(repeats + " times " + odd.description());
        environment.store().put(odd.topic(), odd.key(), odd.value());
        for (int i = 1; i < repeats; i++) {
            environment.store().put(odd.topic(), odd.key(), OddRecord.drawLargeValue(recordRandom));
        }
        scheduleRecords();
    }

    private static int between(Random random, int min, int max) {
        return min + random.nextInt(max - min);
    }
}

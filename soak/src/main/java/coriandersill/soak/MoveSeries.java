package coriandersill.soak;

import java.util.List;
import java.util.Random;

/**
 * Engines that leave one soon after the other, so that generations move several times; some are gone soon after their
 * notice, some serve on. Neither entries nor the store are disturbed.
 */
final class MoveSeries implements FaultSeries {
    private static final int MIN_DEPARTURE_INTERVAL_MILLIS = 250;
    private static final int MAX_DEPARTURE_INTERVAL_MILLIS = 900;

    /** Of this many engines, one is gone soon after its notice. */
    private static final int ENGINES_PER_SHORT_NOTICE = 3;

    private static final int MIN_SHORT_NOTICE_MILLIS = 300;
    private static final int MAX_SHORT_NOTICE_MILLIS = 1_500;
    private static final int MIN_LONG_NOTICE_MILLIS = 3_000;
    private static final int MAX_LONG_NOTICE_MILLIS = 8_000;
    private static final long STOP_TIMEOUT_SECONDS = 12;

    private final SoakEnvironment environment;
    private final Random random;
    private final FaultTimer timer = new FaultTimer();

    MoveSeries(SoakEnvironment environment, Random random) {
        this.environment = environment;
        this.random = random;
    }

    @Override
    public void start() {
        scheduleDeparture();
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return timer.stop(STOP_TIMEOUT_SECONDS);
    }

    private void scheduleDeparture() {
        timer.schedule(
                "departure",
                random.nextInt(MIN_DEPARTURE_INTERVAL_MILLIS, MAX_DEPARTURE_INTERVAL_MILLIS),
                this::departNext);
    }

    private void departNext() throws Exception {
        int choice = random.nextInt(Integer.MAX_VALUE);
        int noticeMillis = drawNotice();
        List<Upstream> candidates = environment.remainingUpstreams(Upstream.ENGINE_SERVICE);
        Upstream engine = candidates.get(choice % candidates.size());
        String fault = "drain " + engine.id() + ", gone after " + noticeMillis + " ms";
        timer.record(fault);
        environment.markLeaving(engine);
        // Only now, so that the next one does not choose the same engine.
        scheduleDeparture();
        environment.addUpstream(Upstream.ENGINE_SERVICE);
        timer.scheduleEnd(fault, noticeMillis, () -> {
            environment.removeListing(engine);
            engine.close();
        });
    }

    private int drawNotice() {
        return random.nextInt(ENGINES_PER_SHORT_NOTICE) == 0
                ? random.nextInt(MIN_SHORT_NOTICE_MILLIS, MAX_SHORT_NOTICE_MILLIS)
                : random.nextInt(MIN_LONG_NOTICE_MILLIS, MAX_LONG_NOTICE_MILLIS);
    }
}

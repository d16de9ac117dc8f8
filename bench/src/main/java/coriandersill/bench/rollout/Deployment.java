package coriandersill.bench.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * The traffic and schedule of the service that is rolled out.
 *
 * @param requestsPerSecond the request rate
 * @param routes the routes, with their fractions of the traffic
 * @param zones the availability zones
 * @param total the time from the declaration of the rollout to its deadline
 * @param probation the duration of the probation phase
 */
record Deployment(
        double requestsPerSecond,
        Map<RouteName, Double> routes,
        List<AvailabilityZone> zones,
        Duration total,
        Duration probation) {
    private static final int MODEL_COUNT = 13;
    private static final double PEAK_REQUESTS_PER_SECOND = 24_000;

    /** The sizes that are measured. */
    enum Size {
        AWAJ,
        SILVERBEND,
        LARGE,
        /** The same number of calls as AWAJ in a quarter of the time, for tests. */
        SHORT
    }

    /** Returns the deployment of a size; for {@link Size#LARGE}, that of a randomly selected model. */
    static Deployment of(Size size, SplittableRandom random) {
        return switch (size) {
            case AWAJ -> deployment(24, 3, 0.7, Duration.ofHours(4));
            case SILVERBEND -> deployment(18, 3, 0.6, Duration.ofHours(4));
            case SHORT -> deployment(96, 3, 0.7, Duration.ofHours(1));
            case LARGE -> deployment(modelRate(random.nextInt(MODEL_COUNT)), 12, 0.7, Duration.ofHours(2));
        };
    }

    /** Returns a copy with another request rate. */
    Deployment withRequestsPerSecond(double rate) {
        return new Deployment(rate, routes, zones, total, probation);
    }

    /** Returns the request rate of a model when the rates of all models follow Zipf's law. */
    private static double modelRate(int model) {
        double sum =
                IntStream.rangeClosed(1, MODEL_COUNT).mapToDouble(i -> 1.0 / i).sum();
        return PEAK_REQUESTS_PER_SECOND / (model + 1) / sum;
    }

    private static Deployment deployment(double rate, int zones, double firstRoute, Duration total) {
        return new Deployment(
                rate,
                Map.of(RouteName.of("chat"), firstRoute, RouteName.of("notes"), 1 - firstRoute),
                IntStream.range(0, zones)
                        .mapToObj(zone -> AvailabilityZone.of("zone-" + zone))
                        .toList(),
                total,
                total.dividedBy(8));
    }
}

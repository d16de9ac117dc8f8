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
 * @param timeToDeadline the time from the declaration of the rollout to its deadline
 * @param probation the duration of the probation phase
 */
record RolloutWorkload(
        double requestsPerSecond,
        Map<RouteName, Double> routes,
        List<AvailabilityZone> zones,
        Duration timeToDeadline,
        Duration probation) {
    private static final int MODEL_COUNT = 13;
    /** The time to the deadline is this multiple of the probation. */
    private static final int PROBATION_DIVISOR = 8;

    private static final double ALL_MODELS_REQUESTS_PER_SECOND = 24_000;

    /** The sizes of services that are simulated. */
    enum Size {
        AWAJ,
        SILVERBEND,
        /** One of 13 models that share 24,000 requests per second, in 12 zones. */
        LARGE,
        /** The same number of calls as AWAJ in a quarter of the time, for tests. */
        SHORT
    }

    /** Returns the workload of a size; for {@link Size#LARGE}, that of a randomly selected model. */
    static RolloutWorkload of(Size size, SplittableRandom random) {
        return switch (size) {
            case AWAJ -> workload(24, 3, 0.7, Duration.ofHours(4));
            case SILVERBEND -> workload(18, 3, 0.6, Duration.ofHours(4));
            case SHORT -> workload(96, 3, 0.7, Duration.ofHours(1));
            case LARGE -> workload(modelRate(random.nextInt(MODEL_COUNT)), 12, 0.7, Duration.ofHours(2));
        };
    }

    /** Returns a copy with another request rate. */
    RolloutWorkload withRequestsPerSecond(double newRequestsPerSecond) {
        return new RolloutWorkload(newRequestsPerSecond, routes, zones, timeToDeadline, probation);
    }

    /** Returns the request rate of a model when the rates of all models follow Zipf's law. */
    private static double modelRate(int model) {
        double sum =
                IntStream.rangeClosed(1, MODEL_COUNT).mapToDouble(i -> 1.0 / i).sum();
        return ALL_MODELS_REQUESTS_PER_SECOND / (model + 1) / sum;
    }

    private static RolloutWorkload workload(
            double requestsPerSecond, int zones, double chatFraction, Duration timeToDeadline) {
        return new RolloutWorkload(
                requestsPerSecond,
                Map.of(RouteName.of("chat"), chatFraction, RouteName.of("notes"), 1 - chatFraction),
                IntStream.range(0, zones)
                        .mapToObj(zone -> AvailabilityZone.of("zone-" + zone))
                        .toList(),
                timeToDeadline,
                timeToDeadline.dividedBy(PROBATION_DIVISOR));
    }
}

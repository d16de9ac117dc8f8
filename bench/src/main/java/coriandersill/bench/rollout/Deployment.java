package coriandersill.bench.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * The traffic of the service that is moved.
 *
 * @param requestsPerSecond its requests per second
 * @param routes its routes with their parts of the traffic
 * @param zones its availability zones
 * @param total the time from declaration to deadline
 * @param probation the probation
 */
record Deployment(
        double requestsPerSecond,
        Map<RouteName, Double> routes,
        List<AvailabilityZone> zones,
        Duration total,
        Duration probation) {
    private static final int MODELS = 13;
    private static final double PEAK_REQUESTS_PER_SECOND = 24_000;

    /** The sizes that are measured. */
    enum Size {
        AWAJ,
        SILVERBEND,
        LARGE,
        /** As many calls as at AWAJ in a quarter of the time; for a short check. */
        SHORT
    }

    /** Returns the deployment of a size; of the large one's models, any. */
    static Deployment of(Size size, SplittableRandom random) {
        return switch (size) {
            case AWAJ -> deployment(24, 3, 0.7, Duration.ofHours(4));
            case SILVERBEND -> deployment(18, 3, 0.6, Duration.ofHours(4));
            case SHORT -> deployment(96, 3, 0.7, Duration.ofHours(1));
            case LARGE -> deployment(modelRate(random.nextInt(MODELS)), 12, 0.7, Duration.ofHours(2));
        };
    }

    /** Returns the same deployment with another rate. */
    Deployment withRequestsPerSecond(double rate) {
        return new Deployment(rate, routes, zones, total, probation);
    }

    private static double modelRate(int model) {
        double sum = IntStream.rangeClosed(1, MODELS).mapToDouble(i -> 1.0 / i).sum();
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

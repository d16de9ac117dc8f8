package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.Objects;

/**
 * The measurements of one call, attributed to the version that served it.
 *
 * @param service the service
 * @param version the version that served the call
 * @param route the route within the service
 * @param zone the availability zone of the upstream
 * @param failed whether the upstream failed the call; calls rejected before dispatch and cancelled calls are not
 *     recorded
 * @param firstTokenNanos time to first token in nanoseconds, or {@link #NOT_MEASURED}
 * @param betweenTokensNanos mean time between tokens in nanoseconds, or {@link #NOT_MEASURED}
 */
public record CallSample(
        ServiceName service,
        VersionName version,
        RouteName route,
        AvailabilityZone zone,
        boolean failed,
        long firstTokenNanos,
        long betweenTokensNanos) {
    /** The value of a duration that was not measured. */
    public static final long NOT_MEASURED = -1;

    /** Throws {@link NullPointerException} if an argument is null. */
    public CallSample {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(zone, "zone");
    }
}

package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.Objects;

/**
 * What one call showed about the version that served it.
 *
 * @param service the service
 * @param version the version that served the call
 * @param route the route within the service
 * @param zone the availability zone of the upstream
 * @param failed whether the upstream failed the call; refusals before dispatch and cancelled calls are not samples
 * @param firstTokenNanos time to the first token in nanoseconds, or {@link #NOT_MEASURED}
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
    /** The value of a time that was not measured. */
    public static final long NOT_MEASURED = -1;

    /** Refuses null. */
    public CallSample {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(zone, "zone");
    }
}

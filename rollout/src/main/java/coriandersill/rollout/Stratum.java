package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import java.util.Objects;

/**
 * The call counts of the old and the new version on the same route, in the same zone and time window.
 *
 * @param route the route
 * @param zone the availability zone
 * @param oldCell the counts of the old version
 * @param newCell the counts of the new version
 */
public record Stratum(RouteName route, AvailabilityZone zone, EvidenceCell oldCell, EvidenceCell newCell) {

    /** Throws {@link NullPointerException} if an argument is null. */
    public Stratum {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(oldCell, "oldCell");
        Objects.requireNonNull(newCell, "newCell");
    }
}

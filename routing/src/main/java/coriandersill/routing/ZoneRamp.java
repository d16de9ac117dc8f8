package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How much of its usual share each availability zone takes: nothing while it is out of service, and a part that grows
 * evenly over a stated time once it is back, so that cold caches and cold upstreams are not flooded.
 *
 * <p>Not safe for use by many threads; {@link Router} guards it.
 */
final class ZoneRamp {
    private final long rampNanos;
    private final double firstShare;
    private final Map<AvailabilityZone, Long> returnedAt = new HashMap<>();

    /** The mark of a zone that is out of service. */
    private static final Long OUT = Long.MAX_VALUE;

    private ZoneRamp(long rampNanos, double firstShare) {
        this.rampNanos = rampNanos;
        this.firstShare = firstShare;
    }

    static ZoneRamp of(Duration ramp, double firstShare) {
        if (ramp.isNegative() || !(firstShare > 0 && firstShare <= 1)) {
            throw new IllegalArgumentException("expected a ramp of zero or more and a first share from 0 to 1, found "
                    + ramp + " and " + firstShare);
        }
        return new ZoneRamp(ramp.toNanos(), firstShare);
    }

    void inService(AvailabilityZone zone, boolean inService, long now) {
        if (!inService) {
            returnedAt.put(zone, OUT);
        } else if (OUT.equals(returnedAt.get(zone))) {
            returnedAt.put(zone, now);
        }
    }

    /** Whether every zone takes its usual share. */
    boolean isIdle() {
        return returnedAt.isEmpty();
    }

    /** Returns 0 for a zone that is out, 1 for one with its usual share, and the part in between on a ramp. */
    double share(AvailabilityZone zone, long now) {
        Long since = returnedAt.get(zone);
        if (since == null) {
            return 1;
        }
        if (since.equals(OUT)) {
            return 0;
        }
        long back = now - since;
        if (back >= rampNanos) {
            returnedAt.remove(zone);
            return 1;
        }
        return firstShare + (1 - firstShare) * back / rampNanos;
    }
}

package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the fraction of its full traffic share that each availability zone gets: none while it is out of service, then
 * a fraction that grows linearly, so that cold caches and cold upstreams are not overloaded when the zone returns.
 *
 * <p>Not thread-safe; {@link Router} guards it.
 */
final class ZoneRamp {
    private final long rampNanos;
    private final double initialShare;
    private final Map<AvailabilityZone, Long> restoredAtNanos = new HashMap<>();

    /** Marks a zone that is out of service in {@link #restoredAtNanos}. */
    private static final Long OUT_OF_SERVICE = Long.MAX_VALUE;

    private ZoneRamp(long rampNanos, double initialShare) {
        this.rampNanos = rampNanos;
        this.initialShare = initialShare;
    }

    static ZoneRamp of(Duration ramp, double initialShare) {
        if (ramp.isNegative() || !(initialShare > 0 && initialShare <= 1)) {
            throw new IllegalArgumentException(
                    "expected ramp >= 0 and initialShare above 0 and up to 1, found " + ramp + " and " + initialShare);
        }
        return new ZoneRamp(ramp.toNanos(), initialShare);
    }

    void setInService(AvailabilityZone zone, boolean inService, long nowNanos) {
        if (!inService) {
            restoredAtNanos.put(zone, OUT_OF_SERVICE);
        } else if (OUT_OF_SERVICE.equals(restoredAtNanos.get(zone))) {
            restoredAtNanos.put(zone, nowNanos);
        }
    }

    /**
     * Returns whether every zone gets its full share. A zone whose ramp has ended counts only after the next call of
     * {@link #share} for it.
     */
    boolean allAtFullShare() {
        return restoredAtNanos.isEmpty();
    }

    /** Returns 0 for a zone out of service, 1 for one with its full share, and a value in between during the ramp. */
    double share(AvailabilityZone zone, long nowNanos) {
        Long zoneRestoredAtNanos = restoredAtNanos.get(zone);
        if (zoneRestoredAtNanos == null) {
            return 1;
        }
        if (zoneRestoredAtNanos.equals(OUT_OF_SERVICE)) {
            return 0;
        }
        long elapsedNanos = nowNanos - zoneRestoredAtNanos;
        if (elapsedNanos >= rampNanos) {
            restoredAtNanos.remove(zone);
            return 1;
        }
        return initialShare + (1 - initialShare) * elapsedNanos / rampNanos;
    }
}

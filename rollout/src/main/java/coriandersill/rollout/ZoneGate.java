package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Says which availability zones take new work, and how much of it while a zone's caches and upstreams are cold.
 *
 * <pre>{@code
 * ZoneGate gate = ZoneGate.of(clock, Duration.ofMinutes(2));
 * gate.takeOut(zone);
 * gate.bringIn(zone);
 * boolean admitted = gate.admits(zone, requestHash);
 * }</pre>
 *
 * <p>An entry asks before it chooses an upstream and a sidecar asks again before it hands on, so that an entry that
 * lags behind cannot place work in a zone that is out. Running work is not touched. A zone that this gate was never
 * told of is in service in full.
 *
 * <p>Safe for use by many threads; the table is guarded by a lock of rank {@link LockRank#ROLLOUT}.
 */
public final class ZoneGate {
    private static final double FIRST_SHARE = 0.05;

    private final MonotonicClock clock;
    private final Duration ramp;
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final Map<AvailabilityZone, Entry> zones = new HashMap<>();

    private record Entry(boolean inService, long sinceNanos) {}

    private ZoneGate(MonotonicClock clock, Duration ramp) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.ramp = Objects.requireNonNull(ramp, "ramp");
    }

    /** Returns a gate whose zones take their full share {@code ramp} after their return; a negative ramp is refused. */
    public static ZoneGate of(MonotonicClock clock, Duration ramp) {
        if (ramp.isNegative()) {
            throw new IllegalArgumentException("ramp: expected zero or more, found " + ramp);
        }
        return new ZoneGate(clock, ramp);
    }

    /** Takes a zone out of service from now on and returns whether it was in service. */
    public boolean takeOut(AvailabilityZone zone) {
        return lock.with(() -> {
            Entry before = zones.put(zone, new Entry(false, clock.nanos()));
            return before == null || before.inService();
        });
    }

    /**
     * Brings a zone that is out back into service, as a ramp that starts now, and returns whether it was out. A zone
     * that is in service keeps its place in its ramp.
     */
    public boolean bringIn(AvailabilityZone zone) {
        return lock.with(() -> {
            Entry before = zones.get(zone);
            if (before == null || before.inService()) {
                return false;
            }
            zones.put(zone, new Entry(true, clock.nanos()));
            return true;
        });
    }

    /** Returns the share of its usual work that the zone takes now: 0 when out, 1 when its ramp is over. */
    public double share(AvailabilityZone zone) {
        Entry entry = lock.with(() -> zones.get(zone));
        if (entry == null) {
            return 1;
        }
        return entry.inService() ? rampShare(clock.nanos() - entry.sinceNanos()) : 0;
    }

    /** Whether the zone is leaving or returning, so that what is measured in it says little about a version. */
    public boolean isBelowFullShare(AvailabilityZone zone) {
        return share(zone) < 1;
    }

    /** Whether the zone takes new work with this request hash; the same requests are let in first in every process. */
    public boolean admits(AvailabilityZone zone, long requestHash) {
        return TrafficSplit.position(
                        Long.rotateLeft(requestHash, 32) ^ zone.value().hashCode())
                < share(zone);
    }

    private double rampShare(long elapsedNanos) {
        if (elapsedNanos >= ramp.toNanos()) {
            return 1;
        }
        return FIRST_SHARE + (1 - FIRST_SHARE) * elapsedNanos / ramp.toNanos();
    }
}

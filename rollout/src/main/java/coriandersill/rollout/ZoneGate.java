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
 * Controls which availability zones admit new work, and how much while the caches and upstreams of a zone are cold.
 *
 * <pre>{@code
 * ZoneGate gate = ZoneGate.of(clock, Duration.ofMinutes(2));
 * gate.takeOut(zone);
 * gate.bringIn(zone);
 * boolean admitted = gate.admits(zone, requestHash);
 * }</pre>
 *
 * <p>An entry should check the gate before it selects an upstream, and a sidecar again before it dispatches, so that an
 * entry with an outdated view cannot place work in a zone that is out of service. Running work is not affected. A zone
 * that is unknown to the gate is fully in service.
 *
 * <p>Thread-safe; the table is guarded by a lock of rank {@link LockRank#ROLLOUT}.
 */
public final class ZoneGate {
    /** The share that a zone admits at the start of its ramp. */
    private static final double RAMP_START_SHARE = 0.05;

    private final MonotonicClock clock;
    private final Duration rampDuration;
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final Map<AvailabilityZone, ZoneState> zones = new HashMap<>();

    private record ZoneState(boolean inService, long sinceNanos) {}

    private ZoneGate(MonotonicClock clock, Duration rampDuration) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.rampDuration = Objects.requireNonNull(rampDuration, "rampDuration");
    }

    /**
     * Returns a gate whose zones reach their full share {@code rampDuration} after their return.
     *
     * @throws IllegalArgumentException if {@code rampDuration} is negative
     */
    public static ZoneGate of(MonotonicClock clock, Duration rampDuration) {
        if (rampDuration.isNegative()) {
            throw new IllegalArgumentException("rampDuration: expected zero or more, found " + rampDuration);
        }
        return new ZoneGate(clock, rampDuration);
    }

    /** Takes a zone out of service and returns whether it was in service. */
    public boolean takeOut(AvailabilityZone zone) {
        return lock.with(() -> {
            ZoneState previous = zones.put(zone, new ZoneState(false, clock.nanos()));
            return previous == null || previous.inService();
        });
    }

    /**
     * Brings a zone back into service with a ramp that starts now, and returns whether it was out of service. If the
     * zone is already in service, its ramp continues unchanged.
     */
    public boolean bringIn(AvailabilityZone zone) {
        return lock.with(() -> {
            ZoneState previous = zones.get(zone);
            if (previous == null || previous.inService()) {
                return false;
            }
            zones.put(zone, new ZoneState(true, clock.nanos()));
            return true;
        });
    }

    /** Returns the share of its usual work that the zone admits now: 0 if out of service, 1 after its ramp. */
    public double share(AvailabilityZone zone) {
        ZoneState state = lock.with(() -> zones.get(zone));
        if (state == null) {
            return 1;
        }
        return state.inService() ? rampShare(clock.nanos() - state.sinceNanos()) : 0;
    }

    /** Whether the zone is out of service or in its ramp, so that measurements in it say little about a version. */
    public boolean isBelowFullShare(AvailabilityZone zone) {
        return share(zone) < 1;
    }

    /**
     * Whether the zone admits a request with the given hash; every process admits the same requests at a given share.
     */
    public boolean admits(AvailabilityZone zone, long requestHash) {
        // Makes the choice independent of that of the version, which uses the same hash.
        return TrafficSplit.unitPosition(
                        Long.rotateLeft(requestHash, 32) ^ zone.value().hashCode())
                < share(zone);
    }

    private double rampShare(long elapsedNanos) {
        if (elapsedNanos >= rampDuration.toNanos()) {
            return 1;
        }
        return RAMP_START_SHARE + (1 - RAMP_START_SHARE) * elapsedNanos / rampDuration.toNanos();
    }
}

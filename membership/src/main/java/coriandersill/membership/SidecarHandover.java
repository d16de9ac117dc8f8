package coriandersill.membership;

import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.TreeMap;

/**
 * Determines how many requests a sidecar may admit while one sidecar of an upstream replaces another.
 *
 * <pre>{@code
 * SidecarHandover handover = SidecarHandover.of(incarnation, clock, Duration.ofSeconds(2));
 * handover.sidecarObserved(other, true, 3);
 * int limit = handover.concurrencyLimit(coldLimit);
 * }</pre>
 *
 * <p>The older sidecar admits nothing once it has observed a newer one. The newer sidecar admits nothing during a
 * discovery period, which ends early once it observes another sidecar or learns that there is none. After that it
 * admits nothing until each older sidecar observed drains or has stopped, and then only as many requests as their
 * running requests leave of its limit. Thus the sum stays within the newer sidecar's limit. Thread-safe: one lock of
 * rank {@link LockRank#MEMBERSHIP} guards all fields.
 */
public final class SidecarHandover {
    private record OlderSidecar(boolean draining, int runningRequests) {}

    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final long incarnation;
    private final MonotonicClock clock;
    private final long discoveryEndNanos;
    private final TreeMap<Long, OlderSidecar> olderSidecars = new TreeMap<>();
    private boolean isSuperseded;
    private boolean otherSidecarsKnown;

    private SidecarHandover(long incarnation, MonotonicClock clock, Duration discoveryPeriod) {
        this.incarnation = incarnation;
        this.clock = clock;
        this.discoveryEndNanos = clock.nanos() + discoveryPeriod.toNanos();
    }

    /**
     * Returns the handover as seen by the sidecar with {@code incarnation}; each new sidecar of an upstream has a
     * higher incarnation.
     *
     * @param discoveryPeriod how long to wait for older sidecars to be observed
     */
    public static SidecarHandover of(long incarnation, MonotonicClock clock, Duration discoveryPeriod) {
        return new SidecarHandover(incarnation, clock, discoveryPeriod);
    }

    /**
     * Notes the reported state of another sidecar of the same upstream; a drain is never revoked.
     *
     * @param otherIncarnation the incarnation of the other sidecar
     * @param draining whether it drains
     * @param runningRequests the number of requests that it runs
     */
    public void sidecarObserved(long otherIncarnation, boolean draining, int runningRequests) {
        lock.run(() -> {
            otherSidecarsKnown = true;
            if (otherIncarnation > incarnation) {
                isSuperseded = true;
            } else if (otherIncarnation < incarnation) {
                OlderSidecar before =
                        olderSidecars.getOrDefault(otherIncarnation, new OlderSidecar(false, Integer.MAX_VALUE));
                // A draining sidecar starts no requests, so a higher number comes from a report that arrived late.
                int running = before.draining ? Math.min(runningRequests, before.runningRequests) : runningRequests;
                olderSidecars.put(otherIncarnation, new OlderSidecar(draining || before.draining, running));
            }
        });
    }

    /** Notes that another sidecar has stopped and all of its requests have ended. */
    public void sidecarStopped(long otherIncarnation) {
        lock.run(() -> {
            otherSidecarsKnown = true;
            olderSidecars.remove(otherIncarnation);
        });
    }

    /** Notes that the upstream has no other sidecar, which ends the discovery period. */
    public void noOtherSidecars() {
        lock.run(() -> {
            otherSidecarsKnown = true;
            olderSidecars.clear();
        });
    }

    /** Returns whether a newer sidecar has taken over, so that this one must drain. */
    public boolean isSuperseded() {
        return lock.with(() -> isSuperseded);
    }

    /** Returns how many concurrent requests this sidecar may run if {@code limit} is the limit of the upstream. */
    public int concurrencyLimit(int limit) {
        return lock.with(() -> {
            if (isSuperseded || (!otherSidecarsKnown && clock.nanos() - discoveryEndNanos < 0)) {
                return 0;
            }
            long remaining = limit;
            for (OlderSidecar sidecar : olderSidecars.values()) {
                // An older sidecar that does not drain yet may use the whole limit.
                remaining -= sidecar.draining ? sidecar.runningRequests : limit;
            }
            return (int) Math.max(0, remaining);
        });
    }
}

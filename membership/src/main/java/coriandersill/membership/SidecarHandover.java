package coriandersill.membership;

import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.TreeMap;

/**
 * Which of several sidecars for one upstream admits, while one replaces another.
 *
 * <pre>{@code
 * SidecarSuccession succession = SidecarSuccession.of(incarnation, clock, Duration.ofSeconds(2));
 * succession.observed(other, true, 3);
 * int room = succession.limit(coldLimit);
 * }</pre>
 *
 * <p>The older one admits nothing from the moment that it hears of a newer one. The newer one admits nothing until each
 * older one that it heard of drains or is gone, and then only what their running requests leave of its limit; at its
 * start it waits for word of older ones for a listening time. So the sum stays within the newer one's limit. Safe for
 * use by many threads: one lock of rank {@link LockRank#MEMBERSHIP} guards all fields.
 */
public final class SidecarHandover {
    private record OlderSidecar(boolean draining, int running) {}

    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final long incarnation;
    private final MonotonicClock clock;
    private final long listenUntilNanos;
    private final TreeMap<Long, OlderSidecar> olderSidecars = new TreeMap<>();
    private boolean isSuperseded;
    private boolean otherSidecarsKnown;

    private SidecarHandover(long incarnation, MonotonicClock clock, Duration listen) {
        this.incarnation = incarnation;
        this.clock = clock;
        this.listenUntilNanos = clock.nanos() + listen.toNanos();
    }

    /**
     * Returns the view of the sidecar with {@code incarnation}, which rises from one sidecar of an upstream to the
     * next.
     *
     * @param listen how long to wait for word of older sidecars
     */
    public static SidecarHandover of(long incarnation, MonotonicClock clock, Duration listen) {
        return new SidecarHandover(incarnation, clock, listen);
    }

    /** Notes what was heard of another sidecar for the same upstream; a drain is never taken back. */
    public void sidecarObserved(long other, boolean draining, int running) {
        lock.run(() -> {
            otherSidecarsKnown = true;
            if (other > incarnation) {
                isSuperseded = true;
            } else if (other < incarnation) {
                OlderSidecar before = olderSidecars.getOrDefault(other, new OlderSidecar(false, Integer.MAX_VALUE));
                boolean drains = draining || before.draining;
                olderSidecars.put(
                        other, new OlderSidecar(drains, before.draining ? Math.min(running, before.running) : running));
            }
        });
    }

    /** Notes that another sidecar has ended, with all of its requests. */
    public void sidecarStopped(long other) {
        lock.run(() -> {
            otherSidecarsKnown = true;
            olderSidecars.remove(other);
        });
    }

    /** Notes that there is no other sidecar for the upstream, which ends the listening time. */
    public void noOtherSidecars() {
        lock.run(() -> {
            otherSidecarsKnown = true;
            olderSidecars.clear();
        });
    }

    /** Whether a newer sidecar has taken over: this one drains. */
    public boolean isSuperseded() {
        return lock.with(() -> isSuperseded);
    }

    /** Returns how many requests this sidecar may run at once when {@code limit} is the upstream's. */
    public int concurrencyLimit(int limit) {
        return lock.with(() -> {
            if (isSuperseded || (!otherSidecarsKnown && clock.nanos() - listenUntilNanos < 0)) {
                return 0;
            }
            long left = limit;
            for (OlderSidecar sidecar : olderSidecars.values()) {
                left -= sidecar.draining ? sidecar.running : limit;
            }
            return (int) Math.max(0, left);
        });
    }
}

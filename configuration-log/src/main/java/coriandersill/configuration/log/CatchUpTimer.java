package coriandersill.configuration.log;

import coriandersill.configuration.StateDigest;
import coriandersill.core.MonotonicClock;
import coriandersill.sharedlog.LogFollower;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * Decides when a process that is behind a peer fetches the peer's state: after a delay within which the log normally
 * delivers the missing records, with jitter so that processes that fall behind together do not fetch together. The
 * delay restarts whenever the position of this process advances.
 *
 * <p>Thread-safe: the state is an immutable value that is replaced atomically.
 */
final class CatchUpTimer {
    private static final PeerLag NOT_BEHIND = new PeerLag(Long.MIN_VALUE, 0, 0);

    private final MonotonicClock clock;
    private final Duration delay;
    private final RandomGenerator random;
    private final AtomicReference<PeerLag> peerLag = new AtomicReference<>(NOT_BEHIND);
    private volatile long lastAdoptedNanos;

    /**
     * The state of a process that is behind a peer.
     *
     * @param ownPosition the position of this process
     * @param sinceNanos when it was first found to be behind a peer at this position
     * @param nextFetchNanos the earliest time of the next fetch
     */
    private record PeerLag(long ownPosition, long sinceNanos, long nextFetchNanos) {}

    CatchUpTimer(MonotonicClock clock, Duration delay, RandomGenerator random) {
        this.clock = clock;
        this.delay = delay;
        this.random = random;
        this.lastAdoptedNanos = clock.nanos();
    }

    /**
     * Returns whether to fetch the state of a peer now. A process without a complete state fetches at once the first
     * time.
     */
    boolean shouldFetch(StateDigest peer, StateDigest own) {
        if (!peer.isNewerThan(own)) {
            return false;
        }
        long now = clock.nanos();
        PeerLag current = peerLag.get();
        if (current.ownPosition() != own.position()) {
            boolean first =
                    peerLag.compareAndSet(current, new PeerLag(own.position(), now, now + jitteredDelayNanos()));
            return first && own.position() < 0;
        }
        return now - current.nextFetchNanos() >= 0
                && peerLag.compareAndSet(
                        current, new PeerLag(own.position(), current.sinceNanos(), now + jitteredDelayNanos()));
    }

    /** Called when a peer's state was adopted. */
    void onPeerStateAdopted(StateDigest own) {
        lastAdoptedNanos = clock.nanos();
        peerLag.set(NOT_BEHIND);
    }

    /** The time since the last peer state was adopted, or since this timer was created if none was. */
    LogFollower.Lag lag() {
        return new LogFollower.Lag(0, Duration.ofNanos(clock.nanos() - lastAdoptedNanos));
    }

    /** Returns 1 to 1.5 times the delay. */
    private long jitteredDelayNanos() {
        return (long) (delay.toNanos() * (1 + random.nextDouble() / 2));
    }
}

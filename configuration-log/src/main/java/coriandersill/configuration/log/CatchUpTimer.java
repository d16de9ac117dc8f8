package coriandersill.configuration.log;

import coriandersill.configuration.StateDigest;
import coriandersill.core.MonotonicClock;
import coriandersill.sharedlog.LogFollower;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * Decides when a process that hears of a newer state fetches it: after a delay in which the log would have brought it,
 * and with jitter, so that processes that fall behind together do not ask together.
 *
 * <p>It is one immutable value that is exchanged, and may be used from any thread.
 */
final class CatchUpTimer {
    private static final Behind NOT_BEHIND = new Behind(Long.MIN_VALUE, 0, 0);

    private final MonotonicClock clock;
    private final Duration delay;
    private final RandomGenerator random;
    private final AtomicReference<Behind> behind = new AtomicReference<>(NOT_BEHIND);
    private volatile long reachedNanos;

    /** Since when the process is behind which own position, and when it asks next. */
    private record Behind(long own, long since, long askAt) {}

    CatchUpTimer(MonotonicClock clock, Duration delay, RandomGenerator random) {
        this.clock = clock;
        this.delay = delay;
        this.random = random;
        this.reachedNanos = clock.nanos();
    }

    boolean wants(StateDigest peer, StateDigest own) {
        if (!peer.isNewerThan(own)) {
            return false;
        }
        long now = clock.nanos();
        Behind before = behind.get();
        if (before.own() != own.position()) {
            boolean first = behind.compareAndSet(before, new Behind(own.position(), now, now + jittered()));
            return first && own.position() < 0;
        }
        return now - before.askAt() >= 0
                && behind.compareAndSet(before, new Behind(own.position(), before.since(), now + jittered()));
    }

    void reached(StateDigest own) {
        reachedNanos = clock.nanos();
        behind.set(NOT_BEHIND);
    }

    LogFollower.Lag lag() {
        return new LogFollower.Lag(0, Duration.ofNanos(clock.nanos() - reachedNanos));
    }

    private long jittered() {
        return (long) (delay.toNanos() * (1 + random.nextDouble() / 2));
    }
}

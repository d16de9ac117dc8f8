package coriandersill.scheduling;

import java.time.Duration;
import java.util.OptionalDouble;

/** How many tokens per second find an engine with room while requests wait for one. Not thread-safe. */
final class DispatchRate {
    /** Rates measured over less time are unknown. */
    private static final double MIN_BUSY_NANOS = Duration.ofSeconds(2).toNanos();

    /** The time over which observations lose half of their weight. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(4).toNanos();

    private double tokens;
    private double busyNanos;
    private long updatedAtNanos;
    private boolean busy;

    /** Records whether requests wait from now on. */
    void setBusy(boolean newBusy, long nowNanos) {
        update(nowNanos);
        busy = newBusy;
    }

    /** Records that a request of {@code dispatched} tokens found an engine with room. */
    void record(long dispatched, long nowNanos) {
        update(nowNanos);
        if (busy) {
            tokens += dispatched;
        }
    }

    /** Returns the tokens per nanosecond; empty if requests have not waited long enough to tell. */
    OptionalDouble tokensPerNano(long nowNanos) {
        update(nowNanos);
        return busyNanos < MIN_BUSY_NANOS || tokens <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(tokens / busyNanos);
    }

    private void update(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - updatedAtNanos);
        updatedAtNanos = nowNanos;
        double kept = Math.pow(0.5, elapsedNanos / HALF_LIFE_NANOS);
        tokens *= kept;
        busyNanos = busyNanos * kept + (busy ? elapsedNanos : 0);
    }
}

package coriandersill.connections;

import java.util.concurrent.TimeUnit;

/**
 * The time on the event loop that a connection may still use before its reads are delayed. Reads no clock. Confined to
 * the event loop of the connection.
 */
final class ReadCredit {
    /** The time that a connection may use at once before its reads are delayed. */
    private static final long MAX_CREDIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The time that a connection waits for each other delayed one, as a multiple of the time that it used. */
    private static final int DELAY_FACTOR = 3;

    /** A read that takes longer was interrupted by something else, such as a collection of the heap. */
    private static final long MAX_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** A read is delayed at most this long, however many connections are delayed. */
    private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A read is delayed at least this long, since timers of an event loop are no finer. */
    private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private long creditNanos = MAX_CREDIT_NANOS;
    private long updatedAtNanos;

    ReadCredit(long nowNanos) {
        this.updatedAtNanos = nowNanos;
    }

    /** Returns whether more time was used than the connection had. */
    boolean isOverdrawn() {
        return creditNanos < 0;
    }

    /** Refills the credit, at a rate at which many connections without any use a third of the event loop together. */
    void refill(long nowNanos, int delayedConnections) {
        long refill = (nowNanos - updatedAtNanos) / Math.max(1, DELAY_FACTOR * (long) delayedConnections);
        creditNanos = Math.min(MAX_CREDIT_NANOS, creditNanos + refill);
        updatedAtNanos = nowNanos;
    }

    /** Subtracts the time of one read. */
    void use(long nanos) {
        creditNanos -= Math.min(MAX_READ_NANOS, nanos);
    }

    /**
     * Returns how long the next read is delayed, in nanoseconds. Alone, a connection only lets others have their turn.
     *
     * @param delayedConnections the number of delayed connections, with this one
     */
    long delayNanos(int delayedConnections) {
        long delayNanos = -creditNanos * (delayedConnections - 1) * DELAY_FACTOR;
        return Math.min(MAX_DELAY_NANOS, Math.max(MIN_DELAY_NANOS, delayNanos));
    }

    /** Forgives what was overdrawn, after the delay for it. */
    void settle(long nowNanos) {
        creditNanos = Math.max(0, creditNanos);
        updatedAtNanos = nowNanos;
    }
}

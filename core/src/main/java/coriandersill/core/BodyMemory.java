package coriandersill.core;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that the bodies of all requests and responses of an entry may occupy together. Thread-safe.
 *
 * <pre>{@code
 * int bytes = BodyMemory.accountedBytes(array.length);
 * if (memory.tryAcquire(bytes)) {
 *     send(array, () -> memory.release(bytes));
 * }
 * }</pre>
 */
public final class BodyMemory {
    /**
     * The size up to which a body needs none of the memory that all share, so that large bodies of other calls cannot
     * refuse calls of a usual size.
     */
    private static final int UNACCOUNTED_BODY_BYTES = 2 << 10;

    /** The number of holders that are asked for memory for one request. */
    private static final int MAX_RELEASES = 64;

    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();
    private final AtomicLong refusals = new AtomicLong();
    private volatile Reliever reliever = () -> false;

    /** Releases memory when it is used up. */
    @FunctionalInterface
    public interface Reliever {
        /** Makes one holder give its memory back; returns false if there is none that could. */
        boolean releaseOne();
    }

    /** Creates a memory of {@code maxBytes}, all free. */
    public BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets what is asked to release memory when it is used up. */
    public void setReliever(Reliever newReliever) {
        reliever = newReliever;
    }

    /** Takes memory; returns false, without taking any, if less is free although others were asked to release some. */
    public boolean tryAcquire(int bytes) {
        if (tryTake(bytes)) {
            return true;
        }
        // An event loop of another connection may release memory only later, so the number of attempts is bounded.
        for (int i = 0; i < MAX_RELEASES && bytes <= maxBytes && reliever.releaseOne(); i++) {
            if (tryTake(bytes)) {
                return true;
            }
        }
        refusals.incrementAndGet();
        return false;
    }

    private boolean tryTake(int bytes) {
        if (usedBytes.addAndGet(bytes) > maxBytes) {
            usedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Takes memory for bytes that exist already, even if less is free; then others are asked to release some. */
    public void acquire(int bytes) {
        usedBytes.addAndGet(bytes);
        for (int i = 0; i < MAX_RELEASES && usedBytes.get() > maxBytes && reliever.releaseOne(); i++) {}
    }

    /** Returns how often memory was not given. */
    public long refusals() {
        return refusals.get();
    }

    /** Returns how much memory a body takes that occupies as many bytes. */
    public static int accountedBytes(int occupiedBytes) {
        return Math.max(0, occupiedBytes - UNACCOUNTED_BODY_BYTES);
    }

    /** Gives back memory that was taken. */
    public void release(int bytes) {
        usedBytes.addAndGet(-bytes);
    }

    /** Returns the memory taken, in bytes; above the maximum if bytes were taken that existed already. */
    public long usedBytes() {
        return usedBytes.get();
    }
}

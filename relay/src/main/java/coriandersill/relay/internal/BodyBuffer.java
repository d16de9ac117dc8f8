package coriandersill.relay.internal;

import coriandersill.core.BodyMemory;
import io.vertx.core.buffer.Buffer;
import java.util.function.LongConsumer;

/**
 * Collects a body up to a maximum size and accounts for the memory that it occupies, which is more than its bytes while
 * it grows. Not thread-safe.
 */
final class BodyBuffer {
    private static final int GROWTH_FACTOR = 2;

    private final BodyMemory memory;
    private final long maxBytes;
    private final LongConsumer heldBytesListener;
    private Buffer bytes = Buffer.buffer(0);

    /** The size of the array behind {@link #bytes}. */
    private int capacityBytes;

    /** What is taken from {@link #memory} for the array. */
    private int acquiredBytes;

    private boolean released;

    /** The outcome of adding bytes. */
    enum Outcome {
        /** The bytes were added. */
        ADDED,
        /** The body is larger than its maximum size. */
        TOO_LARGE,
        /** The bodies of all calls together occupy too much memory. */
        NO_MEMORY
    }

    BodyBuffer(BodyMemory memory, long maxBytes) {
        this(memory, maxBytes, change -> {});
    }

    /** Creates an empty body; {@code heldBytesListener} is told each change of the memory that it occupies. */
    BodyBuffer(BodyMemory memory, long maxBytes, LongConsumer heldBytesListener) {
        this.memory = memory;
        this.maxBytes = maxBytes;
        this.heldBytesListener = heldBytesListener;
    }

    /**
     * Takes the memory for a body of {@code totalBytes} at once; returns false, without taking any, if there is too
     * little now. A body above the maximum size takes none, since it will not be kept.
     */
    boolean tryReserve(long totalBytes) {
        return totalBytes <= capacityBytes || totalBytes > maxBytes || tryGrowTo((int) totalBytes);
    }

    /** Adds bytes; the body is incomplete if the outcome is not ADDED. */
    Outcome append(Buffer part) {
        if (bytes.length() + part.length() > maxBytes) {
            return Outcome.TOO_LARGE;
        }
        int neededBytes = bytes.length() + part.length();
        if (neededBytes > capacityBytes && !tryGrow(neededBytes)) {
            return Outcome.NO_MEMORY;
        }
        bytes.appendBuffer(part);
        return Outcome.ADDED;
    }

    /** Doubles the array if it is too small. */
    private boolean tryGrow(int neededBytes) {
        return tryGrowTo((int) Math.max(neededBytes, Math.min(GROWTH_FACTOR * (long) capacityBytes, maxBytes)));
    }

    /** Replaces the array by a larger one; both are accounted for while one is copied. */
    private boolean tryGrowTo(int grownBytes) {
        int accountedBytes = BodyMemory.accountedBytes(grownBytes);
        if (!memory.tryAcquire(accountedBytes)) {
            return false;
        }
        // The attempt may have made this body itself give its memory back.
        if (released) {
            memory.release(accountedBytes);
            return false;
        }
        heldBytesListener.accept(accountedBytes - acquiredBytes);
        bytes = Buffer.buffer(grownBytes).appendBuffer(bytes);
        memory.release(acquiredBytes);
        capacityBytes = grownBytes;
        acquiredBytes = accountedBytes;
        return true;
    }

    /** Returns the bytes added so far. */
    Buffer bytes() {
        return bytes;
    }

    /** Releases the memory; called once the bytes are no longer needed, any number of times. */
    void release() {
        released = true;
        heldBytesListener.accept(-acquiredBytes);
        memory.release(acquiredBytes);
        acquiredBytes = 0;
    }
}

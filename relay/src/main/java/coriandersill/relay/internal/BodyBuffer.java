package coriandersill.relay.internal;

import io.vertx.core.buffer.Buffer;

/** Collects a body up to a maximum size and accounts for its memory. Not thread-safe. */
final class BodyBuffer {
    private final BodyMemory memory;
    private final long maxBytes;
    private final Buffer bytes = Buffer.buffer();
    private int acquiredBytes;

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
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    /** Adds bytes; the body is incomplete if the outcome is not ADDED. */
    Outcome append(Buffer part) {
        if (bytes.length() + part.length() > maxBytes) {
            return Outcome.TOO_LARGE;
        }
        if (!memory.tryAcquire(part.length())) {
            return Outcome.NO_MEMORY;
        }
        acquiredBytes += part.length();
        bytes.appendBuffer(part);
        return Outcome.ADDED;
    }

    /** Returns the bytes added so far. */
    Buffer bytes() {
        return bytes;
    }

    /** Releases the memory; called once the bytes are no longer needed, any number of times. */
    void release() {
        memory.release(acquiredBytes);
        acquiredBytes = 0;
    }
}

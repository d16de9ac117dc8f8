package coriandersill.relay.internal;

import java.util.concurrent.atomic.AtomicLong;

/** The memory that the bodies of all requests and responses of a relay may occupy together. Thread-safe. */
final class BodyMemory {
    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes memory; returns false, without taking any, if less is free. */
    boolean tryAcquire(int bytes) {
        if (usedBytes.addAndGet(bytes) > maxBytes) {
            usedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    void release(int bytes) {
        usedBytes.addAndGet(-bytes);
    }

    long usedBytes() {
        return usedBytes.get();
    }
}

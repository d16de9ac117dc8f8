package coriandersill.connections;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that one connection occupies, and who gives it back when the connection is refused. The sums are
 * thread-safe; the actions are confined to the event loop of the connection.
 */
final class ConnectionMemory {
    private final IdentityHashMap<Object, Runnable> releases = new IdentityHashMap<>();
    private final AtomicLong heldBytes = new AtomicLong();
    private final AtomicLong unreadBytes = new AtomicLong();

    /** Returns the memory of the requests and unread responses of the connection. */
    long heldBytes() {
        return heldBytes.get();
    }

    /** Returns the bytes of responses that the caller has not read. */
    long unreadBytes() {
        return unreadBytes.get();
    }

    /** Adds to the memory of the connection, or subtracts from it. */
    void addHeld(long bytes) {
        heldBytes.addAndGet(bytes);
    }

    /** Adds to the bytes of responses that the caller has not read, or subtracts from them. */
    void addUnread(long bytes) {
        heldBytes.addAndGet(bytes);
        unreadBytes.addAndGet(bytes);
    }

    /** Adds the action by which {@code owner} gives memory back. */
    void addRelease(Object owner, Runnable action) {
        releases.put(owner, action);
    }

    /** Removes the action of an owner that holds no memory any more. */
    void removeRelease(Object owner) {
        releases.remove(owner);
    }

    /** Makes all owners give their memory back. */
    void release() {
        List.copyOf(releases.values()).forEach(Runnable::run);
        releases.clear();
    }
}

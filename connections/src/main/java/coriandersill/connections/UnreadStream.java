package coriandersill.connections;

import coriandersill.core.BodyMemory;

/**
 * The bytes of a streamed response that were written and that its caller has not read, on the account that all
 * connections of a port share. Whole responses are accounted by what writes them. Confined to the event loop of the
 * connection.
 */
final class UnreadStream {
    /** What an ordinary stream has in its queue for a moment needs no memory of that which all share. */
    private static final int UNACCOUNTED_BYTES = 8 << 10;

    private final BodyMemory shared;
    private final ConnectionMemory connection;
    private int accountedBytes;

    UnreadStream(BodyMemory shared, ConnectionMemory connection) {
        this.shared = shared;
        this.connection = connection;
    }

    /** Accounts for {@code queuedBytes} instead of what was queued before; others may be closed for the memory. */
    void update(long queuedBytes) {
        int bytes = (int) Math.max(0, queuedBytes - UNACCOUNTED_BYTES);
        int change = bytes - accountedBytes;
        if (change == 0) {
            return;
        }
        // Taking memory may close this connection, which gives back what is accounted here.
        accountedBytes = bytes;
        connection.addUnread(change);
        if (change > 0) {
            shared.acquire(change);
        } else {
            shared.release(-change);
        }
    }

    /** Gives all memory back. */
    void release() {
        update(0);
    }
}

package coriandersill.entry.internal;

import coriandersill.connections.GuardedPort;
import coriandersill.core.BodyMemory;
import io.vertx.core.http.HttpConnection;

/** The memory of a request body while it is received. Confined to the event loop of its connection. */
final class ReceivedBytes {
    private final BodyMemory memory;
    private final HttpConnection connection;
    private int bytes;
    private boolean released;

    ReceivedBytes(BodyMemory memory, HttpConnection connection) {
        this.memory = memory;
        this.connection = connection;
        GuardedPort.onRelease(connection, this, this::release);
    }

    /** Takes memory for received bytes; returns false if there is none, or if the body was released. */
    boolean tryAdd(int added) {
        if (released || !memory.tryAcquire(added)) {
            return false;
        }
        if (released) {
            memory.release(added);
            return false;
        }
        bytes += added;
        GuardedPort.addHeld(connection, added);
        return true;
    }

    /** Gives the memory back; called when the body is complete or given up, any number of times. */
    void release() {
        released = true;
        memory.release(bytes);
        GuardedPort.addHeld(connection, -bytes);
        bytes = 0;
        GuardedPort.released(connection, this);
    }
}

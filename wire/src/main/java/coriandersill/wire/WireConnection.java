package coriandersill.wire;

/** One open connection to a peer; safe for use by many threads. */
public interface WireConnection {

    /** Who stands at the other end. */
    PeerIdentity peer();

    /** Sends a message, or drops it when the connection is closed. Returns false when the write queue is full. */
    boolean send(Message message);

    /** Whether the connection is open. */
    boolean isOpen();

    /** Closes the connection; the listener hears of it. */
    void close();
}

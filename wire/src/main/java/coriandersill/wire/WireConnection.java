package coriandersill.wire;

/** One connection to a peer; thread-safe. */
public interface WireConnection {

    /** Returns the identity that the peer sent in its hello. */
    PeerIdentity peer();

    /**
     * Sends a message, or drops it if the connection is closed. The message is queued even if the write buffer is full.
     *
     * @return false if the write buffer is now full or the connection is closed
     * @throws IllegalArgumentException if the frame of the message is larger than the maximum frame size
     */
    boolean send(Message message);

    /** Returns whether the connection is open. */
    boolean isOpen();

    /** Closes the connection; the listener is notified. */
    void close();
}

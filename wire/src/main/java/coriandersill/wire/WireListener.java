package coriandersill.wire;

/** Hears what happens on connections, on the connection's event loop; implementations do not block. */
public interface WireListener {

    /** Both hellos were exchanged. */
    void connected(WireConnection connection);

    /** A message came. */
    void received(WireConnection connection, Message message);

    /** The connection has ended; comes once after {@link #connected}. */
    void disconnected(WireConnection connection);
}

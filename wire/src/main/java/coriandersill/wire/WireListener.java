package coriandersill.wire;

/** Hears what happens on connections, on the connection's event loop; implementations do not block. */
public interface WireListener {

    /** Both hellos were exchanged. */
    void onConnected(WireConnection connection);

    /** A message came. */
    void onMessage(WireConnection connection, Message message);

    /** The connection has ended; comes once after {@link #onConnected}. */
    void onDisconnected(WireConnection connection);
}

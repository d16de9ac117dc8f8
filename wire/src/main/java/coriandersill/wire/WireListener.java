package coriandersill.wire;

/** Receives the events of connections, on the connection's event loop; implementations must not block. */
public interface WireListener {

    /** Called when the hellos have been exchanged. */
    void onConnected(WireConnection connection);

    /** Called for each message after the hellos. */
    void onMessage(WireConnection connection, Message message);

    /** Called once when a connection that was reported to {@link #onConnected} has ended. */
    void onDisconnected(WireConnection connection);
}

package coriandersill.sidecar.internal;

import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireListener;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Passes messages about calls to the gate, and all others to whoever takes messages from peers. */
public final class SidecarListener implements WireListener {
    private final CallDispatcher gate;
    private final Optional<WireListener> peerMessages;
    private final Supplier<Message> ping;
    private final Set<WireConnection> connections = ConcurrentHashMap.newKeySet();

    private SidecarListener(CallDispatcher gate, Optional<WireListener> peerMessages, Supplier<Message> ping) {
        this.gate = gate;
        this.peerMessages = peerMessages;
        this.ping = ping;
    }

    /** Returns a listener before a gate; each new connection gets a ping at once, so that its entry has a stamp. */
    public static SidecarListener create(
            CallDispatcher gate, Optional<WireListener> peerMessages, Supplier<Message> ping) {
        return new SidecarListener(gate, peerMessages, ping);
    }

    /** The open connections. */
    public Set<WireConnection> connections() {
        return connections;
    }

    @Override
    public void connected(WireConnection connection) {
        connections.add(connection);
        connection.send(ping.get());
        peerMessages.ifPresent(listener -> listener.connected(connection));
    }

    @Override
    public void received(WireConnection connection, Message message) {
        if (message instanceof Message.Dispatch dispatch) {
            gate.dispatch(connection, dispatch);
        } else if (message instanceof Message.Credit credit) {
            gate.credit(credit);
        } else if (message instanceof Message.Cancel cancel) {
            gate.cancel(cancel);
        } else if (message instanceof Message.Resume resume) {
            gate.resume(connection, resume);
        } else {
            peerMessages.ifPresent(listener -> listener.received(connection, message));
        }
    }

    @Override
    public void disconnected(WireConnection connection) {
        connections.remove(connection);
        gate.disconnected(connection);
        peerMessages.ifPresent(listener -> listener.disconnected(connection));
    }
}

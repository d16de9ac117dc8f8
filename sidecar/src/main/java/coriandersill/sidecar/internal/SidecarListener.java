package coriandersill.sidecar.internal;

import coriandersill.events.LoopGuard;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireListener;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Passes messages about calls to the dispatcher, and all others to the peer listener. */
public final class SidecarListener implements WireListener {
    private final CallDispatcher dispatcher;
    private final Optional<WireListener> peerListener;
    private final Supplier<Message> pingSupplier;
    private final Set<WireConnection> connections = ConcurrentHashMap.newKeySet();

    private SidecarListener(
            CallDispatcher dispatcher, Optional<WireListener> peerListener, Supplier<Message> pingSupplier) {
        this.dispatcher = dispatcher;
        this.peerListener = peerListener;
        this.pingSupplier = pingSupplier;
    }

    /** Returns a listener; each new connection gets a ping at once, so that the entry has a stamp. */
    public static SidecarListener create(
            CallDispatcher dispatcher, Optional<WireListener> peerListener, Supplier<Message> pingSupplier) {
        return new SidecarListener(dispatcher, peerListener, pingSupplier);
    }

    /** Returns the open connections. */
    public Set<WireConnection> connections() {
        return connections;
    }

    /** Sends a ping on every open connection; {@code guard} is that of the pings. */
    public void sendPings(LoopGuard guard) {
        Message ping = pingSupplier.get();
        guard.forEach(connections, connection -> connection.send(ping));
    }

    @Override
    public void onConnected(WireConnection connection) {
        connections.add(connection);
        connection.send(pingSupplier.get());
        peerListener.ifPresent(listener -> listener.onConnected(connection));
    }

    @Override
    public void onMessage(WireConnection connection, Message message) {
        if (message instanceof Message.Dispatch dispatch) {
            dispatcher.dispatch(connection, dispatch);
        } else if (message instanceof Message.Credit credit) {
            dispatcher.credit(credit);
        } else if (message instanceof Message.Cancel cancel) {
            dispatcher.cancel(cancel);
        } else if (message instanceof Message.Resume resume) {
            dispatcher.resume(connection, resume);
        } else {
            peerListener.ifPresent(listener -> listener.onMessage(connection, message));
        }
    }

    @Override
    public void onDisconnected(WireConnection connection) {
        connections.remove(connection);
        dispatcher.disconnected(connection);
        peerListener.ifPresent(listener -> listener.onDisconnected(connection));
    }
}

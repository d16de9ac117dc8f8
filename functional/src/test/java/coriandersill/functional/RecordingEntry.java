package coriandersill.functional;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireClient;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireSettings;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** A connection to a sidecar that speaks the wire protocol as an entry and records the messages of calls. */
final class RecordingEntry implements WireListener {
    private final List<Message> received = new CopyOnWriteArrayList<>();
    private final WireClient client;
    private volatile WireConnection connection;

    private RecordingEntry(WireEventLoops eventLoops, int port) {
        client =
                WireClient.create(wireSettings("entry", "entry-1"), eventLoops, "127.0.0.1", port, this, new Random(1));
    }

    /** Connects to the sidecar on {@code port} and waits until the connection is open. */
    static RecordingEntry connect(WireEventLoops eventLoops, int port) {
        RecordingEntry entry = new RecordingEntry(eventLoops, port);
        entry.client.start();
        Await.until(() -> entry.connection != null);
        return entry;
    }

    /** Returns the wire settings of a process of the given role; a sidecar serves version v1 of scribe. */
    static WireSettings wireSettings(String role, String name) {
        boolean isSidecar = role.equals("sidecar");
        return WireSettings.of(new PeerIdentity(
                InstanceId.of(name),
                1,
                role,
                AvailabilityZone.of("zone-a"),
                isSidecar ? "scribe" : "",
                isSidecar ? "v1" : ""));
    }

    @Override
    public void onConnected(WireConnection opened) {
        connection = opened;
    }

    @Override
    public void onMessage(WireConnection source, Message message) {
        if (message instanceof Message.CallMessage) {
            received.add(message);
        }
    }

    @Override
    public void onDisconnected(WireConnection closed) {
        connection = null;
    }

    void send(Message message) {
        connection.send(message);
    }

    /** Closes the connection and waits until it is closed. */
    void disconnect() {
        client.stop(Duration.ZERO);
        Await.until(() -> connection == null);
    }

    List<Message> received() {
        return received;
    }

    Message lastMessage() {
        return received.get(received.size() - 1);
    }

    long receivedTokens() {
        return received.stream()
                .filter(Message.Tokens.class::isInstance)
                .mapToLong(message -> ((Message.Tokens) message).payloads().size())
                .sum();
    }

    /** Returns the index of the first token received; -1 if none was. */
    long firstTokenIndex() {
        return received.stream()
                .filter(Message.Tokens.class::isInstance)
                .mapToLong(message -> ((Message.Tokens) message).firstIndex())
                .findFirst()
                .orElse(-1);
    }
}

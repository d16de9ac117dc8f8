package coriandersill.daemon.internal;

import coriandersill.configuration.StateDigest;
import coriandersill.configuration.log.ConfigurationService;
import coriandersill.core.CallFailure;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireListener;
import coriandersill.workers.WorkerPool;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Fetches the configuration from peers that have a newer state and sends its own state to peers that request it.
 *
 * <p>Pings carry the configuration position; a state is fetched only if the configuration service asks for it. The
 * parts of a reply arrive in order on one connection; incomplete states are guarded by a lock of rank
 * {@link LockRank#CONNECTIONS}. Rollout messages are passed to a separate handler.
 */
final class PeerConfigurationExchange implements WireListener {
    private static final int MAX_PART_BYTES = 1 << 20;

    private final ConfigurationService configuration;
    private final WorkerPool workers;
    private final EventLog events;
    private final Consumer<byte[]> rolloutMessageHandler;
    private final RankedLock lock = RankedLock.of(LockRank.CONNECTIONS);
    private final Map<WireConnection, ByteArrayOutputStream> incompleteStates = new HashMap<>();

    PeerConfigurationExchange(
            ConfigurationService configuration,
            WorkerPool workers,
            EventLog events,
            Consumer<byte[]> rolloutMessageHandler) {
        this.configuration = configuration;
        this.workers = workers;
        this.events = events;
        this.rolloutMessageHandler = rolloutMessageHandler;
    }

    @Override
    public void onConnected(WireConnection connection) {
        // The first ping of the peer will carry its configuration position.
    }

    @Override
    public void onMessage(WireConnection connection, Message message) {
        if (message instanceof Message.Ping ping) {
            workers.executeOrRun(() -> requestIfNewer(connection, ping.configurationPosition()));
        } else if (message instanceof Message.StateRequest request) {
            workers.executeOrRun(() -> sendStateIfNewer(connection, request));
        } else if (message instanceof Message.StateReply reply) {
            addPart(connection, reply).ifPresent(state -> workers.executeOrRun(() -> importState(connection, state)));
        } else if (message instanceof Message.Evidence evidence) {
            workers.executeOrRun(() -> acceptRolloutMessage(connection, evidence.data()));
        } else if (message instanceof Message.Verdict verdict) {
            workers.executeOrRun(() -> acceptRolloutMessage(connection, verdict.data()));
        } else if (message instanceof Message.Unknown) {
            events.record(EventCode.FRAME_UNKNOWN, Map.of("peer", connection));
        }
    }

    @Override
    public void onDisconnected(WireConnection connection) {
        lock.run(() -> incompleteStates.remove(connection));
    }

    private void requestIfNewer(WireConnection connection, long peerPosition) {
        if (configuration.shouldFetchFrom(new StateDigest(peerPosition))) {
            connection.send(new Message.StateRequest(configuration.digest().position()));
        }
    }

    private void sendStateIfNewer(WireConnection connection, Message.StateRequest request) {
        long ownPosition = configuration.digest().position();
        if (ownPosition <= request.newerThan()) {
            return;
        }
        byte[] state = configuration.exportSince(new StateDigest(request.newerThan()));
        int partCount = Math.max(1, (state.length + MAX_PART_BYTES - 1) / MAX_PART_BYTES);
        for (int part = 0; part < partCount; part++) {
            int start = part * MAX_PART_BYTES;
            byte[] data = Arrays.copyOfRange(state, start, Math.min(state.length, start + MAX_PART_BYTES));
            connection.send(new Message.StateReply(ownPosition, part, partCount, data));
        }
    }

    private Optional<byte[]> addPart(WireConnection connection, Message.StateReply reply) {
        return lock.with(() -> {
            ByteArrayOutputStream assembled = reply.part() == 0
                    ? new ByteArrayOutputStream()
                    : incompleteStates.getOrDefault(connection, new ByteArrayOutputStream());
            assembled.writeBytes(reply.data());
            if (reply.part() + 1 < reply.parts()) {
                incompleteStates.put(connection, assembled);
                return Optional.empty();
            }
            incompleteStates.remove(connection);
            return Optional.of(assembled.toByteArray());
        });
    }

    private void importState(WireConnection connection, byte[] state) {
        try {
            configuration.importPeerState(state);
        } catch (CallFailure malformed) {
            events.record(EventCode.FRAME_UNKNOWN, Map.of("peer", connection, "why", malformed.getMessage()));
        }
    }

    private void acceptRolloutMessage(WireConnection connection, byte[] data) {
        try {
            rolloutMessageHandler.accept(data);
        } catch (CallFailure malformed) {
            events.record(EventCode.FRAME_UNKNOWN, Map.of("peer", connection, "why", malformed.getMessage()));
        }
    }
}

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
 * Brings the configuration of peers that have seen more, and gives ours to those that have seen less.
 *
 * <p>The offset rides on pings; a state is fetched only when the configuration service asks for it. Parts of one answer
 * come in order on one connection; those that are not whole are guarded by a lock of rank {@link LockRank#CONNECTIONS}.
 */
final class PeerConfigurationExchange implements WireListener {
    private static final int PART_BYTES = 1 << 20;

    private final ConfigurationService configuration;
    private final WorkerPool workers;
    private final EventLog events;
    private final Consumer<byte[]> rollouts;
    private final RankedLock lock = RankedLock.of(LockRank.CONNECTIONS);
    private final Map<WireConnection, ByteArrayOutputStream> parts = new HashMap<>();

    PeerConfigurationExchange(
            ConfigurationService configuration, WorkerPool workers, EventLog events, Consumer<byte[]> rollouts) {
        this.configuration = configuration;
        this.workers = workers;
        this.events = events;
        this.rollouts = rollouts;
    }

    @Override
    public void connected(WireConnection connection) {
        // A first ping follows with the peer's offset.
    }

    @Override
    public void received(WireConnection connection, Message message) {
        if (message instanceof Message.Ping ping) {
            workers.executeOrRun(() -> compare(connection, ping.configurationOffset()));
        } else if (message instanceof Message.StateRequest request) {
            workers.executeOrRun(() -> answer(connection, request));
        } else if (message instanceof Message.StateReply reply) {
            collect(connection, reply).ifPresent(state -> workers.executeOrRun(() -> take(connection, state)));
        } else if (message instanceof Message.Evidence evidence) {
            workers.executeOrRun(() -> rollout(connection, evidence.data()));
        } else if (message instanceof Message.Verdict verdict) {
            workers.executeOrRun(() -> rollout(connection, verdict.data()));
        } else if (message instanceof Message.Unknown) {
            events.record(EventCode.FRAME_UNKNOWN, Map.of("peer", connection));
        }
    }

    @Override
    public void disconnected(WireConnection connection) {
        lock.run(() -> parts.remove(connection));
    }

    private void compare(WireConnection connection, long offset) {
        if (configuration.shouldFetchFrom(new StateDigest(offset))) {
            connection.send(new Message.StateRequest(configuration.digest().position()));
        }
    }

    private void answer(WireConnection connection, Message.StateRequest request) {
        long own = configuration.digest().position();
        if (own <= request.newerThan()) {
            return;
        }
        byte[] state = configuration.exportSince(new StateDigest(request.newerThan()));
        int count = Math.max(1, (state.length + PART_BYTES - 1) / PART_BYTES);
        for (int part = 0; part < count; part++) {
            int start = part * PART_BYTES;
            byte[] data = Arrays.copyOfRange(state, start, Math.min(state.length, start + PART_BYTES));
            connection.send(new Message.StateReply(own, part, count, data));
        }
    }

    private Optional<byte[]> collect(WireConnection connection, Message.StateReply reply) {
        return lock.with(() -> {
            ByteArrayOutputStream collected = reply.part() == 0
                    ? new ByteArrayOutputStream()
                    : parts.getOrDefault(connection, new ByteArrayOutputStream());
            collected.writeBytes(reply.data());
            if (reply.part() + 1 < reply.parts()) {
                parts.put(connection, collected);
                return Optional.empty();
            }
            parts.remove(connection);
            return Optional.of(collected.toByteArray());
        });
    }

    private void take(WireConnection connection, byte[] state) {
        try {
            configuration.importPeerState(state);
        } catch (CallFailure malformed) {
            events.record(EventCode.FRAME_UNKNOWN, Map.of("peer", connection, "why", malformed.getMessage()));
        }
    }

    private void rollout(WireConnection connection, byte[] data) {
        try {
            rollouts.accept(data);
        } catch (CallFailure malformed) {
            events.record(EventCode.FRAME_UNKNOWN, Map.of("peer", connection, "why", malformed.getMessage()));
        }
    }
}

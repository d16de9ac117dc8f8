package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
import coriandersill.platform.InstanceList;
import coriandersill.platform.ListedInstance;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireLink;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireLoops;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps links to the sidecars that the instance list names.
 *
 * <p>A sidecar that has left the list keeps its link as long as the connection proves that it lives. Guarded by a lock
 * of rank {@link LockRank#MEMBERSHIP}.
 */
final class SidecarLinks implements ManagedService {
    private static final String SIDECAR = "sidecar";
    private static final long POLL_MILLIS = 1_000;

    private final EntryContext entry;
    private final WireLoops loops;
    private final InstanceList list;
    private final SidecarDirectory directory;
    private final CallService calls;
    private final Optional<WireListener> peerMessages;
    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final AtomicLong pingSequence = new AtomicLong();
    private final Map<InstanceId, Linked> links = new HashMap<>();
    private final Set<WireConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean listed;
    private long timer = -1;
    private long pingTimer = -1;

    SidecarLinks(
            EntryContext entry,
            WireLoops loops,
            InstanceList list,
            SidecarDirectory directory,
            CallService calls,
            Optional<WireListener> peerMessages) {
        this.entry = entry;
        this.loops = loops;
        this.list = list;
        this.directory = directory;
        this.calls = calls;
        this.peerMessages = peerMessages;
    }

    private record Linked(String host, int port, WireLink link) {}

    @Override
    public CompletableFuture<Void> start() {
        timer = entry.vertx().setPeriodic(0, POLL_MILLIS, tick -> poll());
        pingTimer =
                entry.vertx().setPeriodic(entry.settings().wire().pingInterval().toMillis(), tick -> ping());
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        entry.vertx().cancelTimer(timer);
        entry.vertx().cancelTimer(pingTimer);
        lock.run(() -> links.values().forEach(linked -> linked.link().stop(grace)));
        return CompletableFuture.completedFuture(null);
    }

    /** Whether the instance list was read at least once. */
    boolean listed() {
        return listed;
    }

    Set<WireConnection> connections() {
        return connections;
    }

    private void ping() {
        Message ping = new Message.Ping(
                pingSequence.incrementAndGet(),
                entry.configuration().get().offset(),
                Optional.empty(),
                Optional.empty(),
                calls.draining());
        connections.forEach(connection -> connection.send(ping));
    }

    private void poll() {
        list.read().whenComplete((found, error) -> {
            if (error != null) {
                entry.events()
                        .record(EventCode.INSTANCE_LIST_DOUBTED, Map.of("why", String.valueOf(error.getMessage())));
            } else {
                entry.workers().execute(() -> follow(found));
            }
        });
    }

    private void follow(List<ListedInstance> found) {
        Set<InstanceId> leaving = new HashSet<>();
        found.stream()
                .filter(instance -> instance.role().equals(SIDECAR) && instance.leaving())
                .forEach(instance -> leaving.add(instance.id()));
        lock.run(() -> {
            found.stream().filter(instance -> instance.role().equals(SIDECAR)).forEach(this::link);
            forgetDead(found);
        });
        directory.leaving(leaving);
        listed = true;
    }

    private void link(ListedInstance instance) {
        Linked known = links.get(instance.id());
        if (known != null && known.host().equals(instance.host()) && known.port() == instance.port()) {
            return;
        }
        if (known != null) {
            known.link().stop(Duration.ZERO);
        }
        WireLink link = WireLink.create(
                entry.settings().wire(), loops, instance.host(), instance.port(), new Listener(), entry.random());
        links.put(instance.id(), new Linked(instance.host(), instance.port(), link));
        link.start();
    }

    private void forgetDead(List<ListedInstance> found) {
        Set<InstanceId> present = new HashSet<>();
        found.forEach(instance -> present.add(instance.id()));
        links.entrySet().removeIf(known -> {
            boolean dead = !present.contains(known.getKey())
                    && known.getValue().link().connection().isEmpty();
            if (dead) {
                known.getValue().link().stop(Duration.ZERO);
            }
            return dead;
        });
    }

    /** Hands what comes from sidecars to the directory and to the calls. */
    private final class Listener implements WireListener {
        @Override
        public void connected(WireConnection connection) {
            connections.add(connection);
            directory.connected(connection);
            calls.connected(connection);
            peerMessages.ifPresent(listener -> listener.connected(connection));
            entry.events().record(EventCode.PEER_CONNECTED, Map.of("peer", connection));
        }

        @Override
        public void received(WireConnection connection, Message message) {
            if (message instanceof Message.OfCall ofCall) {
                calls.received(connection, ofCall);
                return;
            }
            if (message instanceof Message.Ping ping) {
                directory.pinged(connection, ping);
            }
            peerMessages.ifPresent(listener -> listener.received(connection, message));
        }

        @Override
        public void disconnected(WireConnection connection) {
            connections.remove(connection);
            directory.disconnected(connection);
            calls.disconnected(connection);
            peerMessages.ifPresent(listener -> listener.disconnected(connection));
            entry.events().record(EventCode.PEER_LOST, Map.of("peer", connection));
        }
    }
}

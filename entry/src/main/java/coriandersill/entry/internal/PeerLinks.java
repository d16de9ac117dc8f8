package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.events.EventCode;
import coriandersill.events.LoopGuard;
import coriandersill.membership.ConnectionPlan;
import coriandersill.membership.ListUpdateResult;
import coriandersill.membership.ListedMember;
import coriandersill.membership.Member;
import coriandersill.membership.MemberChange;
import coriandersill.membership.MemberState;
import coriandersill.membership.MembershipTable;
import coriandersill.membership.Role;
import coriandersill.sharedlog.InstanceList;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Maintains links to the sidecars and entries that the connection plan selects among the members, and passes on what
 * they say.
 *
 * <p>Thread-safe.
 */
final class PeerLinks implements ManagedService {
    private static final long LIST_POLL_INTERVAL_MILLIS = 1_000;

    /** Longer than a read of the list that is not answered. */
    private static final Duration LIST_STALL_BOUND = Duration.ofSeconds(6);

    private static final Duration PING_STALL_BOUND = Duration.ofSeconds(10);

    private final EntryContext entry;
    private final InstanceList instanceList;
    private final MembershipTable members;
    private final PeerSelection selection;
    private final SidecarDirectory directory;
    private final CallService calls;
    private final Optional<WireListener> peerListener;
    private final AtomicLong pingSequence = new AtomicLong();
    private final LinkTable links;
    private final Set<WireConnection> connections = ConcurrentHashMap.newKeySet();
    private final LoopGuard listGuard;
    private final LoopGuard pingGuard;
    private final LoopGuard timeoutGuard;
    private volatile boolean listApplied;
    private long pollTimer = -1;
    private long pingTimer = -1;

    PeerLinks(
            EntryContext entry,
            WireEventLoops loops,
            InstanceList instanceList,
            MembershipTable members,
            ConnectionPlan plan,
            SidecarDirectory directory,
            CallService calls,
            Optional<WireListener> peerListener) {
        this.entry = entry;
        this.instanceList = instanceList;
        this.members = members;
        this.selection = new PeerSelection(plan, entry.settings().wire().self());
        this.directory = directory;
        this.calls = calls;
        this.peerListener = peerListener;
        this.links = new LinkTable(entry, loops, calls);
        this.listGuard = entry.loops().registerEssential("reads of the instance list", LIST_STALL_BOUND);
        this.pingGuard = entry.loops().register("pings to peers", PING_STALL_BOUND);
        this.timeoutGuard = entry.loops().register("checks for silent peers", PING_STALL_BOUND);
    }

    @Override
    public CompletableFuture<Void> start() {
        listGuard.begin();
        pingGuard.begin();
        timeoutGuard.begin();
        pollTimer =
                entry.vertx().setPeriodic(0, LIST_POLL_INTERVAL_MILLIS, tick -> listGuard.run(this::pollInstanceList));
        pingTimer = entry.vertx()
                .setPeriodic(entry.settings().wire().pingInterval().toMillis(), tick -> sendPingsAndCheckTimeouts());
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        entry.vertx().cancelTimer(pollTimer);
        entry.vertx().cancelTimer(pingTimer);
        listGuard.rest();
        pingGuard.rest();
        timeoutGuard.rest();
        links.stop(grace);
        return CompletableFuture.completedFuture(null);
    }

    /** Returns whether the instance list has been applied at least once. */
    boolean listApplied() {
        return listApplied;
    }

    Set<WireConnection> connections() {
        return connections;
    }

    private void sendPingsAndCheckTimeouts() {
        pingGuard.runPeriodic(this::sendPings);
        entry.workers().executeOrRun(() -> timeoutGuard.runPeriodic(this::checkTimeouts));
    }

    private void sendPings() {
        Message ping = pingMessage();
        pingGuard.forEach(connections, connection -> connection.send(ping));
    }

    private Message pingMessage() {
        return new Message.Ping(
                pingSequence.incrementAndGet(),
                entry.configurationPosition().getAsLong(),
                Optional.empty(),
                Optional.empty(),
                calls.isDraining());
    }

    private void pollInstanceList() {
        instanceList
                .read()
                .whenComplete((listed, error) -> listGuard.run(() -> {
                    if (error != null) {
                        listGuard.markProgress();
                        entry.events()
                                .record(
                                        EventCode.INSTANCE_LIST_DOUBTED,
                                        Map.of("why", String.valueOf(error.getMessage())));
                    } else {
                        entry.workers().executeOrRun(() -> listGuard.runPeriodic(() -> applyInstanceList(listed)));
                    }
                }));
    }

    private void applyInstanceList(List<ListedInstance> listed) {
        List<ListedMember> listedMembers =
                listed.stream().map(MemberFactory::listed).toList();
        ListUpdateResult result = members.updateFromList(listedMembers);
        onMemberChanges(result.changes());
        List<Member> entries = members.connectable(Role.ENTRY);
        List<Member> sidecars = members.connectable(Role.SIDECAR);
        List<Member> connectable = new ArrayList<>(sidecars);
        connectable.addAll(entries);
        links.update(connectable, selection.select(entries, sidecars), new LinkListener());
        listApplied = true;
        if (!result.isPlausible()) {
            entry.events().record(EventCode.INSTANCE_LIST_DOUBTED, Map.of("why", result.retentionReason()));
        }
    }

    List<InstanceId> entries() {
        return selection.withSelf(members.connectable(Role.ENTRY)).stream()
                .map(Member::id)
                .sorted()
                .toList();
    }

    boolean sendTo(InstanceId instance, Message message) {
        Optional<WireConnection> open = links.connectionTo(instance);
        open.ifPresent(connection -> connection.send(message));
        return open.isPresent();
    }

    /** Returns the listener for connections opened by other entries. */
    WireListener acceptedConnectionListener() {
        return new AcceptedConnectionListener();
    }

    private void checkTimeouts() {
        onMemberChanges(members.checkTimeouts());
    }

    /**
     * Applies changes before it records them, since no later step applies them if an error of the log ends this one.
     */
    private void onMemberChanges(List<MemberChange> changes) {
        if (changes.isEmpty()) {
            return;
        }
        changes.stream()
                .filter(change -> change.after() == MemberState.GONE)
                .forEach(change -> directory.removeInstance(change.member().id()));
        directory.rebuild();
        changes.forEach(this::recordMemberChange);
    }

    private void recordMemberChange(MemberChange change) {
        InstanceId peer = change.member().id();
        if (change.after() == MemberState.LIVE) {
            entry.events().record(EventCode.INSTANCE_JOINED, Map.of("peer", peer));
        } else if (change.before() == MemberState.LIVE) {
            entry.events().record(EventCode.INSTANCE_LEFT, Map.of("peer", peer, "state", change.after()));
        }
    }

    /** Listens on connections opened by other entries: sends pings to them and passes messages to the peer listener. */
    private final class AcceptedConnectionListener implements WireListener {
        @Override
        public void onConnected(WireConnection connection) {
            connections.add(connection);
            connection.send(pingMessage());
            peerListener.ifPresent(listener -> listener.onConnected(connection));
        }

        @Override
        public void onMessage(WireConnection connection, Message message) {
            peerListener.ifPresent(listener -> listener.onMessage(connection, message));
        }

        @Override
        public void onDisconnected(WireConnection connection) {
            connections.remove(connection);
            peerListener.ifPresent(listener -> listener.onDisconnected(connection));
        }
    }

    /** Listens on outgoing links and passes their events to the directory and to the calls. */
    private final class LinkListener implements WireListener {
        @Override
        public void onConnected(WireConnection connection) {
            connections.add(connection);
            connection.send(pingMessage());
            directory.connected(connection);
            calls.connected(connection);
            peerListener.ifPresent(listener -> listener.onConnected(connection));
            entry.events().record(EventCode.PEER_CONNECTED, Map.of("peer", connection));
        }

        @Override
        public void onMessage(WireConnection connection, Message message) {
            if (message instanceof Message.CallMessage callMessage) {
                calls.received(connection, callMessage);
                return;
            }
            if (message instanceof Message.Ping ping) {
                onPing(connection, ping);
            }
            peerListener.ifPresent(listener -> listener.onMessage(connection, message));
        }

        /**
         * Marks the peer as connected, and as draining if the ping says so. This waits for the first ping, because
         * non-idempotent calls need the stamp in it.
         */
        private void onPing(WireConnection connection, Message.Ping ping) {
            PeerIdentity peer = connection.peer();
            entry.workers().executeOrRun(() -> {
                directory.onPing(connection, ping);
                onMemberChanges(members.connected(
                        MemberFactory.connected(peer, links.find(peer.instance())), peer.incarnation()));
                if (ping.draining()) {
                    onMemberChanges(members.drainAnnounced(peer.instance(), peer.incarnation()));
                }
            });
        }

        @Override
        public void onDisconnected(WireConnection connection) {
            connections.remove(connection);
            PeerIdentity peer = connection.peer();
            if (directory.disconnected(connection)) {
                entry.workers()
                        .executeOrRun(() -> onMemberChanges(members.disconnected(peer.instance(), peer.incarnation())));
            }
            calls.disconnected(connection);
            peerListener.ifPresent(listener -> listener.onDisconnected(connection));
            entry.events().record(EventCode.PEER_LOST, Map.of("peer", connection));
        }
    }
}

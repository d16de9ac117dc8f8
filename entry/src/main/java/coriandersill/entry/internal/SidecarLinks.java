package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
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
import coriandersill.wire.WireClient;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import java.time.Duration;
import java.util.ArrayList;
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
 * Keeps links to the sidecars that the connection plan chooses among the members.
 *
 * <p>Links are guarded by a lock of rank {@link LockRank#MEMBERSHIP}.
 */
final class SidecarLinks implements ManagedService {
    private static final String SIDECAR = "sidecar";
    private static final int FULL_MESH_ENTRIES = 32;
    private static final long POLL_MILLIS = 1_000;

    private final EntryContext entry;
    private final WireEventLoops loops;
    private final InstanceList list;
    private final MembershipTable members;
    private final ConnectionPlan plan;
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
            WireEventLoops loops,
            InstanceList list,
            MembershipTable members,
            ConnectionPlan plan,
            SidecarDirectory directory,
            CallService calls,
            Optional<WireListener> peerMessages) {
        this.entry = entry;
        this.loops = loops;
        this.list = list;
        this.members = members;
        this.plan = plan;
        this.directory = directory;
        this.calls = calls;
        this.peerMessages = peerMessages;
    }

    private record Linked(String host, int port, WireClient link) {}

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
        Message ping = pingMessage();
        connections.forEach(connection -> connection.send(ping));
        entry.workers().executeOrRun(this::tick);
    }

    private Message pingMessage() {
        return new Message.Ping(
                pingSequence.incrementAndGet(),
                entry.position().getAsLong(),
                Optional.empty(),
                Optional.empty(),
                calls.draining());
    }

    private void poll() {
        list.read().whenComplete((found, error) -> {
            if (error != null) {
                entry.events()
                        .record(EventCode.INSTANCE_LIST_DOUBTED, Map.of("why", String.valueOf(error.getMessage())));
            } else {
                entry.workers().executeOrRun(() -> follow(found));
            }
        });
    }

    private void follow(List<ListedInstance> found) {
        List<ListedMember> listings = found.stream().map(SidecarLinks::listing).toList();
        ListUpdateResult verdict = members.updateFromList(listings);
        if (!verdict.isFullyApplied()) {
            entry.events().record(EventCode.INSTANCE_LIST_DOUBTED, Map.of("why", verdict.retentionReason()));
        }
        changed(verdict.changes());
        List<Member> entries = members.connectable(Role.ENTRY);
        List<Member> sidecars = members.connectable(Role.SIDECAR);
        Set<InstanceId> wanted = new HashSet<>(plan.sidecarsFor(self(), withSelf(entries), sidecars));
        wanted.addAll(wantedEntries(entries));
        List<Member> connectable = new ArrayList<>(sidecars);
        connectable.addAll(entries);
        lock.run(() -> {
            connectable.stream().filter(member -> wanted.contains(member.id())).forEach(this::link);
            unlinkUnwanted(connectable, wanted);
        });
        listed = true;
    }

    /** All other entries while they are few; else those that the plan names as peers. */
    private Set<InstanceId> wantedEntries(List<Member> entries) {
        InstanceId self = self().id();
        Set<InstanceId> wanted = new HashSet<>();
        if (entries.size() <= FULL_MESH_ENTRIES) {
            entries.forEach(member -> wanted.add(member.id()));
        } else {
            wanted.addAll(plan.peersFor(self(), withSelf(entries)));
        }
        wanted.remove(self);
        return wanted;
    }

    List<InstanceId> entries() {
        return withSelf(members.connectable(Role.ENTRY)).stream()
                .map(Member::id)
                .sorted()
                .toList();
    }

    boolean sendTo(InstanceId instance, Message message) {
        Optional<WireConnection> open = lock.with(() -> Optional.ofNullable(links.get(instance)))
                .flatMap(linked -> linked.link().connection());
        open.ifPresent(connection -> connection.send(message));
        return open.isPresent();
    }

    /** Returns the listener for connections that other entries open. */
    WireListener accepting() {
        return new Accepted();
    }

    private static ListedMember listing(ListedInstance instance) {
        Role role = instance.role().equals(SIDECAR) ? Role.SIDECAR : Role.ENTRY;
        Member member = new Member(
                instance.id(),
                role,
                instance.zone(),
                instance.host(),
                instance.port(),
                instance.service(),
                instance.version());
        return new ListedMember(member, instance.leaving());
    }

    private Member self() {
        PeerIdentity self = entry.settings().wire().self();
        return new Member(self.instance(), Role.ENTRY, self.zone(), "", 0, Optional.empty(), Optional.empty());
    }

    private List<Member> withSelf(List<Member> entries) {
        Member self = self();
        List<Member> all = new ArrayList<>(entries);
        if (all.stream().noneMatch(member -> member.id().equals(self.id()))) {
            all.add(self);
        }
        return all;
    }

    private void tick() {
        changed(members.checkTimeouts());
    }

    private void changed(List<MemberChange> changes) {
        if (changes.isEmpty()) {
            return;
        }
        for (MemberChange change : changes) {
            if (change.after() == MemberState.LIVE) {
                entry.events()
                        .record(
                                EventCode.INSTANCE_JOINED,
                                Map.of("peer", change.member().id()));
            } else if (change.before() == MemberState.LIVE) {
                entry.events()
                        .record(
                                EventCode.INSTANCE_LEFT,
                                Map.of("peer", change.member().id(), "state", change.after()));
            }
            if (change.after() == MemberState.GONE) {
                directory.forget(change.member().id());
            }
        }
        directory.rebuild();
    }

    private void link(Member member) {
        Linked known = links.get(member.id());
        if (known != null && known.host().equals(member.host()) && known.port() == member.port()) {
            return;
        }
        if (known != null) {
            known.link().stop(Duration.ZERO);
        }
        WireClient link = WireClient.create(
                entry.settings().wire(), loops, member.host(), member.port(), new Listener(), entry.random());
        links.put(member.id(), new Linked(member.host(), member.port(), link));
        link.start();
    }

    /** Ends links that are not wanted; one to an instance that leaves stays until its connection ends by itself. */
    private void unlinkUnwanted(List<Member> connectable, Set<InstanceId> wanted) {
        Set<InstanceId> present = new HashSet<>();
        connectable.forEach(member -> present.add(member.id()));
        links.entrySet().removeIf(known -> {
            boolean unwanted = present.contains(known.getKey()) && !wanted.contains(known.getKey());
            boolean dead = !present.contains(known.getKey())
                    && known.getValue().link().connection().isEmpty();
            if ((unwanted && calls.noneAt(known.getKey())) || dead) {
                known.getValue().link().stop(Duration.ZERO);
                return true;
            }
            return false;
        });
    }

    /** The member at the other end of a link, with the address that the link goes to. */
    private Member member(PeerIdentity peer) {
        boolean sidecar = peer.role().equals(SIDECAR);
        Optional<Linked> linked = lock.with(() -> Optional.ofNullable(links.get(peer.instance())));
        return new Member(
                peer.instance(),
                sidecar ? Role.SIDECAR : Role.ENTRY,
                peer.zone(),
                linked.map(Linked::host).orElse(""),
                linked.map(Linked::port).orElse(0),
                sidecar ? Optional.of(ServiceName.of(peer.service())) : Optional.empty(),
                sidecar ? Optional.of(VersionName.of(peer.version())) : Optional.empty());
    }

    /** Takes connections of other entries: keeps them alive and passes messages on. */
    private final class Accepted implements WireListener {
        @Override
        public void onConnected(WireConnection connection) {
            connections.add(connection);
            connection.send(pingMessage());
            peerMessages.ifPresent(listener -> listener.onConnected(connection));
        }

        @Override
        public void onMessage(WireConnection connection, Message message) {
            peerMessages.ifPresent(listener -> listener.onMessage(connection, message));
        }

        @Override
        public void onDisconnected(WireConnection connection) {
            connections.remove(connection);
            peerMessages.ifPresent(listener -> listener.onDisconnected(connection));
        }
    }

    /** Hands what comes from sidecars to the directory and to the calls. */
    private final class Listener implements WireListener {
        @Override
        public void onConnected(WireConnection connection) {
            connections.add(connection);
            connection.send(pingMessage());
            directory.connected(connection);
            calls.connected(connection);
            peerMessages.ifPresent(listener -> listener.onConnected(connection));
            entry.events().record(EventCode.PEER_CONNECTED, Map.of("peer", connection));
        }

        @Override
        public void onMessage(WireConnection connection, Message message) {
            if (message instanceof Message.CallMessage ofCall) {
                calls.received(connection, ofCall);
                return;
            }
            if (message instanceof Message.Ping ping) {
                pinged(connection, ping);
            }
            peerMessages.ifPresent(listener -> listener.onMessage(connection, message));
        }

        /** A peer is in service from its first ping on, which carries its stamp and whether it drains. */
        private void pinged(WireConnection connection, Message.Ping ping) {
            PeerIdentity peer = connection.peer();
            entry.workers().executeOrRun(() -> {
                directory.pinged(connection, ping);
                changed(members.connected(member(peer), peer.incarnation()));
                if (ping.draining()) {
                    changed(members.drainAnnounced(peer.instance(), peer.incarnation()));
                }
            });
        }

        @Override
        public void onDisconnected(WireConnection connection) {
            connections.remove(connection);
            PeerIdentity peer = connection.peer();
            if (directory.disconnected(connection)) {
                entry.workers().executeOrRun(() -> changed(members.disconnected(peer.instance(), peer.incarnation())));
            }
            calls.disconnected(connection);
            peerMessages.ifPresent(listener -> listener.onDisconnected(connection));
            entry.events().record(EventCode.PEER_LOST, Map.of("peer", connection));
        }
    }
}

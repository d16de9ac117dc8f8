package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.membership.Member;
import coriandersill.wire.WireClient;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The links that this entry has opened, by the instance at their other end.
 *
 * <p>Thread-safe: guarded by a lock of rank {@link LockRank#MEMBERSHIP}.
 */
final class LinkTable {
    private final EntryContext entry;
    private final WireEventLoops loops;
    private final CallService calls;
    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final Map<InstanceId, Link> links = new HashMap<>();

    LinkTable(EntryContext entry, WireEventLoops loops, CallService calls) {
        this.entry = entry;
        this.loops = loops;
        this.calls = calls;
    }

    /**
     * A link to an instance.
     *
     * @param host the host that the instance is reached at
     * @param port its port
     * @param client keeps the connection open
     */
    record Link(String host, int port, WireClient client) {
        private boolean leadsTo(Member member) {
            return host.equals(member.host()) && port == member.port();
        }
    }

    /** Returns the link to {@code instance}. */
    Optional<Link> find(InstanceId instance) {
        return lock.with(() -> Optional.ofNullable(links.get(instance)));
    }

    /** Returns the open connection to {@code instance}. */
    Optional<WireConnection> connectionTo(InstanceId instance) {
        return find(instance).flatMap(link -> link.client().connection());
    }

    /**
     * Opens the links to the wanted members that are not open, and closes those that are no longer needed.
     *
     * @param listener receives the events of the links that are opened
     */
    void update(List<Member> connectable, Set<InstanceId> wanted, WireListener listener) {
        lock.run(() -> {
            connectable.stream()
                    .filter(member -> wanted.contains(member.id()))
                    .forEach(member -> open(member, listener));
            closeUnwanted(connectable, wanted);
        });
    }

    private void open(Member member, WireListener listener) {
        Link existing = links.get(member.id());
        if (existing != null && existing.leadsTo(member)) {
            return;
        }
        if (existing != null) {
            existing.client().stop(Duration.ZERO);
        }
        WireClient client = WireClient.create(
                entry.settings().wire(), loops, member.host(), member.port(), listener, entry.random(), entry.loops());
        links.put(member.id(), new Link(member.host(), member.port(), client));
        client.start();
    }

    /**
     * Closes links that the plan no longer selects, once no open call uses them. A link to an instance that is draining
     * or gone stays until its connection ends.
     */
    private void closeUnwanted(List<Member> connectable, Set<InstanceId> wanted) {
        Set<InstanceId> connectableIds = new HashSet<>();
        connectable.forEach(member -> connectableIds.add(member.id()));
        links.entrySet().removeIf(existing -> {
            InstanceId id = existing.getKey();
            WireClient client = existing.getValue().client();
            boolean deselected = connectableIds.contains(id) && !wanted.contains(id);
            boolean disconnected =
                    !connectableIds.contains(id) && client.connection().isEmpty();
            boolean closing = (deselected && calls.hasNoCallsAt(id)) || disconnected;
            if (closing) {
                client.stop(Duration.ZERO);
            }
            return closing;
        });
    }

    /** Stops all links. */
    void stop(Duration grace) {
        lock.run(() -> links.values().forEach(link -> link.client().stop(grace)));
    }
}

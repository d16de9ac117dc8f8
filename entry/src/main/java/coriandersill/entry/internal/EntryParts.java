package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.entry.OnceOnlyCalls;
import coriandersill.events.EventCode;
import coriandersill.membership.ConnectionPlan;
import coriandersill.membership.MembershipTable;
import coriandersill.routing.Router;
import coriandersill.sharedlog.InstanceList;
import coriandersill.wire.Message;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireServer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Puts the parts of an entry together, and starts and stops them in order. */
public final class EntryParts implements ManagedService {
    private final EntryContext entry;
    private final SidecarDirectory directory;
    private final CallService calls;
    private final SidecarLinks links;
    private final HttpFront front;
    private final WireServer server;

    private EntryParts(
            EntryContext entry,
            WireEventLoops loops,
            InstanceList list,
            MembershipTable members,
            ConnectionPlan connections,
            Router router,
            OnceOnlyCalls onceOnly,
            Optional<WireListener> peerMessages) {
        this.entry = entry;
        this.directory = new SidecarDirectory(members, router, entry.configuration());
        this.calls = new CallService(entry, directory);
        this.links = new SidecarLinks(entry, loops, list, members, connections, directory, calls, peerMessages);
        this.server = WireServer.create(
                entry.settings().wire(),
                loops,
                entry.settings().peerHost(),
                entry.settings().peerPort(),
                links.accepting());
        this.front = HttpFront.create(entry, calls, onceOnly);
    }

    /** Returns the parts, not started. */
    public static EntryParts create(
            EntryContext entry,
            WireEventLoops loops,
            InstanceList list,
            MembershipTable members,
            ConnectionPlan connections,
            Router router,
            OnceOnlyCalls onceOnly,
            Optional<WireListener> peerMessages) {
        return new EntryParts(entry, loops, list, members, connections, router, onceOnly, peerMessages);
    }

    /** The port of the HTTP listener, once started. */
    public int port() {
        return front.port();
    }

    /** The port of the wire listener for other entries, once started. */
    public int peerPort() {
        return server.port();
    }

    /** The listed entries, this one included, in order of name. */
    public List<InstanceId> entries() {
        return links.entries();
    }

    /** Sends a message to another entry if it is connected. */
    public boolean sendTo(InstanceId instance, Message message) {
        return links.sendTo(instance, message);
    }

    /** How many sidecars a call may go to. */
    public int sidecarsInService() {
        return directory.inService();
    }

    /** How many calls are open. */
    public int openCalls() {
        return calls.openCalls();
    }

    /** Why the entry is not ready, or null. */
    public String unready() {
        if (calls.draining()) {
            return "draining";
        }
        if (!links.listed()) {
            return "the instance list has not been read";
        }
        return entry.configuration().get().position() < 0 ? "no configuration is proven" : null;
    }

    /** Takes a new configuration into account. */
    public void configurationChanged() {
        directory.rebuild();
    }

    /** Sends a message to every connected sidecar. */
    public void broadcast(Message message) {
        links.connections().forEach(connection -> connection.send(message));
    }

    @Override
    public CompletableFuture<Void> start() {
        return server.start().thenCompose(bound -> links.start()).thenCompose(linked -> front.start());
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        entry.events().record(EventCode.DAEMON_DRAINING, Map.of("open", calls.openCalls()));
        return calls.drain(grace).thenCompose(drained -> {
            if (!drained) {
                entry.events().record(EventCode.DRAIN_DEADLINE, Map.of("open", calls.openCalls()));
            }
            return front.stop(grace)
                    .thenCompose(stopped -> links.stop(grace))
                    .thenCompose(stopped -> server.stop(grace));
        });
    }
}

package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.entry.IdempotencyClaims;
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
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Creates the components of an entry, and starts and stops them in order. */
public final class EntryComponents implements ManagedService {
    private final EntryContext entry;
    private final SidecarDirectory directory;
    private final CallService calls;
    private final PeerLinks links;
    private final CallerHttpServer httpServer;
    private final WireServer peerServer;

    private EntryComponents(
            EntryContext entry,
            WireEventLoops loops,
            InstanceList instanceList,
            MembershipTable members,
            ConnectionPlan connectionPlan,
            Router router,
            IdempotencyClaims idempotencyClaims,
            Optional<WireListener> peerListener) {
        this.entry = entry;
        this.directory = new SidecarDirectory(members, router, entry.configuration(), entry.clock(), entry.random());
        this.calls = new CallService(entry, directory);
        this.links = new PeerLinks(entry, loops, instanceList, members, connectionPlan, directory, calls, peerListener);
        this.peerServer = WireServer.create(
                entry.settings().wire(),
                loops,
                entry.settings().peerHost(),
                entry.settings().peerPort(),
                links.acceptedConnectionListener());
        this.httpServer = CallerHttpServer.create(entry, calls, idempotencyClaims);
    }

    /** Returns the components, not yet started. */
    public static EntryComponents create(
            EntryContext entry,
            WireEventLoops loops,
            InstanceList instanceList,
            MembershipTable members,
            ConnectionPlan connectionPlan,
            Router router,
            IdempotencyClaims idempotencyClaims,
            Optional<WireListener> peerListener) {
        return new EntryComponents(
                entry, loops, instanceList, members, connectionPlan, router, idempotencyClaims, peerListener);
    }

    /** Returns the port of the HTTP listener; only valid after {@link #start}. */
    public int port() {
        return httpServer.port();
    }

    /** Returns the port of the wire listener for other entries; only valid after {@link #start}. */
    public int peerPort() {
        return peerServer.port();
    }

    /** Returns the entries in the instance list, including this one, sorted by name. */
    public List<InstanceId> entries() {
        return links.entries();
    }

    /** Sends a message to another entry if it is connected; returns whether it was connected. */
    public boolean sendTo(InstanceId instance, Message message) {
        return links.sendTo(instance, message);
    }

    /** Returns the number of sidecars that calls may be sent to. */
    public int sidecarsInService() {
        return directory.sidecarsInService();
    }

    /** Returns the number of open calls. */
    public int openCalls() {
        return calls.openCalls();
    }

    /** Returns why the entry is not ready, or null if it is ready. */
    public String notReadyReason() {
        if (calls.isDraining()) {
            return "draining";
        }
        if (!links.listApplied()) {
            return "the instance list has not been read";
        }
        return entry.configuration().get().position() < 0 ? "no configuration is proven" : null;
    }

    /** Applies a new configuration; to be called after the configuration supplier's value has changed. */
    public void configurationChanged() {
        directory.rebuild();
    }

    /** Sends a message to every connected sidecar and entry. */
    public void broadcast(Message message) {
        links.connections().forEach(connection -> connection.send(message));
    }

    @Override
    public CompletableFuture<Void> start() {
        return peerServer.start().thenCompose(bound -> links.start()).thenCompose(linked -> httpServer.start());
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return calls.drain(grace)
                .thenCompose(drained -> httpServer.stop(grace))
                .thenCompose(stopped -> links.stop(grace))
                .thenCompose(stopped -> peerServer.stop(grace));
    }
}

package coriandersill.entry.internal;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.VersionCapacity;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.membership.Member;
import coriandersill.membership.MemberState;
import coriandersill.membership.MembershipTable;
import coriandersill.routing.CallResult;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.LoadReport;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.Router;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The sidecars that this entry is connected to, and which of them a call may go to.
 *
 * <p>The candidates of each version are kept ready and built anew when members or the configuration change; a lock of
 * rank {@link LockRank#CANDIDATES} keeps an older view from replacing a newer one. Open connections are guarded by a
 * lock of rank {@link LockRank#CONNECTIONS}; the router is never called under it.
 */
final class SidecarDirectory {
    private final RankedLock lock = RankedLock.of(LockRank.CONNECTIONS);
    private final RankedLock building = RankedLock.of(LockRank.CANDIDATES);
    private final Map<InstanceId, Open> connections = new HashMap<>();
    private final MembershipTable members;
    private final Router router;
    private final Supplier<Configuration> configuration;
    private volatile Map<Served, List<CandidateInfo>> candidates = Map.of();

    SidecarDirectory(MembershipTable members, Router router, Supplier<Configuration> configuration) {
        this.members = members;
        this.router = router;
        this.configuration = configuration;
    }

    private record Served(ServiceName service, VersionName version) {}

    private record Open(WireConnection connection, Optional<Message.Stamp> stamp) {}

    void connected(WireConnection connection) {
        lock.run(() -> connections.put(connection.peer().instance(), new Open(connection, Optional.empty())));
    }

    /** Forgets a connection; returns false when another has taken its place. */
    boolean disconnected(WireConnection connection) {
        return lock.with(() -> {
            Open open = connections.get(connection.peer().instance());
            boolean present = open != null && open.connection().equals(connection);
            if (present) {
                connections.remove(connection.peer().instance());
            }
            return present;
        });
    }

    void pinged(WireConnection connection, Message.Ping ping) {
        lock.run(() -> connections.computeIfPresent(
                connection.peer().instance(),
                (id, open) -> open.connection().equals(connection) ? new Open(connection, ping.stamp()) : open));
        ping.load()
                .ifPresent(load -> router.report(
                        connection.peer().instance(),
                        new LoadReport(
                                load.running(),
                                load.waiting(),
                                load.limit(),
                                load.cold(),
                                load.reservedTokens(),
                                load.memoryTokens())));
    }

    void forget(InstanceId instance) {
        router.removeInstance(instance);
    }

    /** Builds the candidates anew, after members or the configuration have changed. */
    void rebuild() {
        building.run(this::build);
    }

    private void build() {
        Configuration now = configuration.get();
        Map<Served, List<CandidateInfo>> rebuilt = new HashMap<>();
        for (Member member : members.inState(MemberState.LIVE)) {
            if (member.service().isPresent() && member.version().isPresent()) {
                Served served =
                        new Served(member.service().get(), member.version().get());
                Optional<VersionCapacity> capacity = now.service(served.service())
                        .map(service -> service.versions().get(served.version()));
                rebuilt.computeIfAbsent(served, key -> new ArrayList<>())
                        .add(new CandidateInfo(
                                member.id(),
                                member.zone(),
                                served.version(),
                                capacity.map(VersionCapacity::coldConcurrency).orElse(1),
                                capacity.map(VersionCapacity::memoryTokens).orElse(0L)));
            }
        }
        now.documents().values().forEach(document -> {
            if (document instanceof ZoneDocument zone) {
                router.setZoneInService(zone.zone(), zone.inService());
            }
        });
        candidates = rebuilt;
    }

    /** Chooses a sidecar and counts the call there until {@link #finished}. */
    Optional<Selection> select(RouteRequest request) {
        Set<InstanceId> excluded = new HashSet<>(request.excluded());
        List<CandidateInfo> known =
                candidates.getOrDefault(new Served(request.service(), request.version()), List.of());
        while (true) {
            RouteRequest narrowed = new RouteRequest(
                    request.service(),
                    request.route(),
                    request.version(),
                    request.origin(),
                    request.affinityHash(),
                    request.promptTokens(),
                    request.predictedTokens(),
                    excluded);
            Optional<Candidate> choice = router.select(narrowed, known);
            if (choice.isEmpty()) {
                return Optional.empty();
            }
            Optional<Selection> selection = selection(choice.get());
            if (selection.isPresent()) {
                return selection;
            }
            router.finished(choice.get().instance(), narrowed, new CallResult(CallResult.Kind.REFUSED, 0, 0, 0));
            excluded.add(choice.get().instance());
        }
    }

    private Optional<Selection> selection(Candidate candidate) {
        return lock.with(() -> Optional.ofNullable(connections.get(candidate.instance())))
                .filter(open -> open.connection().isOpen())
                .map(open -> new Selection(candidate.instance(), candidate.version(), open.connection(), open.stamp()));
    }

    void finished(InstanceId instance, RouteRequest request, CallResult result) {
        router.finished(instance, request, result);
    }

    /** How many sidecars a call may go to. */
    int inService() {
        return candidates.values().stream().mapToInt(List::size).sum();
    }
}

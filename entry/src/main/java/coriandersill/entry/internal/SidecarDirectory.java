package coriandersill.entry.internal;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.VersionCapacity;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
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
import coriandersill.upstreams.UpstreamStatement;
import coriandersill.upstreams.UpstreamStatements;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * The sidecars that this entry is connected to, and the candidates for the calls of each service version. Connections
 * to other entries are recorded as well, but are never candidates.
 *
 * <p>The candidates are precomputed and rebuilt when members or the configuration change. Rebuilds hold a lock of rank
 * {@link LockRank#CANDIDATES}, so that candidates from an older state cannot replace newer ones. Open connections and
 * what upstreams said of themselves are guarded by a lock of rank {@link LockRank#CONNECTIONS}; the router is never
 * called while that lock is held.
 */
final class SidecarDirectory {
    private final RankedLock connectionsLock = RankedLock.of(LockRank.CONNECTIONS);
    private final RankedLock candidatesLock = RankedLock.of(LockRank.CANDIDATES);
    private final Map<InstanceId, OpenConnection> connections = new HashMap<>();
    private final MembershipTable members;
    private final Router router;
    private final Supplier<Configuration> configuration;
    private final MonotonicClock clock;
    private final RandomGenerator random;

    /** What the upstreams of sidecars said of themselves, and which process of each it was. */
    private final UpstreamStatements statements = new UpstreamStatements();

    private final Map<InstanceId, Long> statedProcesses = new HashMap<>();
    private volatile Map<ServiceVersion, List<CandidateInfo>> candidates = Map.of();

    SidecarDirectory(
            MembershipTable members,
            Router router,
            Supplier<Configuration> configuration,
            MonotonicClock clock,
            RandomGenerator random) {
        this.members = members;
        this.router = router;
        this.configuration = configuration;
        this.clock = clock;
        this.random = random;
    }

    private record ServiceVersion(ServiceName service, VersionName version) {}

    private record OpenConnection(WireConnection connection, Optional<Message.Stamp> stamp) {}

    void connected(WireConnection connection) {
        connectionsLock.run(
                () -> connections.put(connection.peer().instance(), new OpenConnection(connection, Optional.empty())));
    }

    /** Removes a connection; returns false if another connection to the same instance has replaced it. */
    boolean disconnected(WireConnection connection) {
        return connectionsLock.with(() -> {
            OpenConnection open = connections.get(connection.peer().instance());
            boolean present = open != null && open.connection().equals(connection);
            if (present) {
                connections.remove(connection.peer().instance());
            }
            return present;
        });
    }

    void onPing(WireConnection connection, Message.Ping ping) {
        ping.upstream()
                .ifPresent(notice ->
                        connectionsLock.run(() -> recordNotice(connection.peer().instance(), notice)));
        connectionsLock.run(() -> connections.computeIfPresent(
                connection.peer().instance(),
                (id, open) ->
                        open.connection().equals(connection) ? new OpenConnection(connection, ping.stamp()) : open));
        ping.load()
                .ifPresent(load -> router.recordReport(
                        connection.peer().instance(),
                        new LoadReport(
                                load.running(),
                                load.waiting(),
                                load.limit(),
                                load.cold(),
                                load.reservedTokens(),
                                load.memoryTokens())));
    }

    /** Records what a sidecar tells of its upstream; what an earlier process of it said has ended. */
    private void recordNotice(InstanceId instance, Message.UpstreamNotice notice) {
        long process = notice.process();
        Duration quietTime = notice.quietTime();
        boolean statesAnything = notice.leaving() || !quietTime.isZero();
        if (statesAnything || statedProcesses.containsKey(instance)) {
            statedProcesses.put(instance, process);
        }
        if (notice.leaving()) {
            statements.addLeaving(instance, process);
        }
        if (!quietTime.isZero()) {
            long untilNanos =
                    clock.nanos() + UpstreamStatement.spread(quietTime, random).toNanos();
            statements.addQuietTime(instance, process, untilNanos);
        }
    }

    /** Returns the sidecars whose upstream wants no new call now. */
    private Set<InstanceId> unwilling() {
        return connectionsLock.with(() -> statedProcesses.entrySet().stream()
                .filter(stated -> statements.saysLeaving(stated.getKey(), stated.getValue())
                        || !quietTime(stated.getKey()).isZero())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet()));
    }

    private Duration quietTime(InstanceId instance) {
        Long process = statedProcesses.get(instance);
        return process == null ? Duration.ZERO : statements.quietTime(instance, process, clock.nanos());
    }

    /** Returns the time until the first quiet upstream of a service version accepts calls again; zero if none is. */
    Duration timeUntilQuietEnds(RouteRequest request) {
        List<CandidateInfo> known =
                candidates.getOrDefault(new ServiceVersion(request.service(), request.version()), List.of());
        return connectionsLock.with(() -> known.stream()
                .map(candidate -> quietTime(candidate.instance()))
                .filter(time -> !time.isZero())
                .min(Duration::compareTo)
                .orElse(Duration.ZERO));
    }

    void removeInstance(InstanceId instance) {
        connectionsLock.run(() -> statedProcesses.remove(instance));
        router.removeInstance(instance);
    }

    /** Rebuilds the candidates after members or the configuration have changed. */
    void rebuild() {
        candidatesLock.run(this::buildCandidates);
    }

    private void buildCandidates() {
        Configuration current = configuration.get();
        Map<ServiceVersion, List<CandidateInfo>> rebuilt = new HashMap<>();
        for (Member member : members.inState(MemberState.LIVE)) {
            if (member.service().isPresent() && member.version().isPresent()) {
                ServiceVersion served = new ServiceVersion(
                        member.service().get(), member.version().get());
                Optional<VersionCapacity> capacity = current.service(served.service())
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
        current.documents().values().forEach(document -> {
            if (document instanceof ZoneDocument zone) {
                router.setZoneInService(zone.zone(), zone.inService());
            }
        });
        candidates = rebuilt;
    }

    /**
     * Selects a sidecar with an open connection; the router counts the call there until {@link #finished}.
     *
     * <p>A candidate without an open connection is reported to the router as refused, and another one is selected.
     */
    Optional<SelectedSidecar> select(RouteRequest request) {
        Set<InstanceId> excluded = new HashSet<>(request.excluded());
        excluded.addAll(unwilling());
        List<CandidateInfo> known =
                candidates.getOrDefault(new ServiceVersion(request.service(), request.version()), List.of());
        while (true) {
            RouteRequest narrowedRequest = new RouteRequest(
                    request.service(),
                    request.route(),
                    request.version(),
                    request.origin(),
                    request.affinityHash(),
                    request.promptTokens(),
                    request.predictedTokens(),
                    excluded);
            Optional<Candidate> candidate = router.select(narrowedRequest, known);
            if (candidate.isEmpty()) {
                return Optional.empty();
            }
            Optional<SelectedSidecar> selection = selection(candidate.get());
            if (selection.isPresent()) {
                return selection;
            }
            router.recordFinished(
                    candidate.get().instance(), narrowedRequest, new CallResult(CallResult.Kind.REFUSED, 0, 0, 0));
            excluded.add(candidate.get().instance());
        }
    }

    private Optional<SelectedSidecar> selection(Candidate candidate) {
        return connectionsLock
                .with(() -> Optional.ofNullable(connections.get(candidate.instance())))
                .filter(open -> open.connection().isOpen())
                .map(open -> new SelectedSidecar(
                        candidate.instance(), candidate.version(), open.connection(), open.stamp()));
    }

    void finished(InstanceId instance, RouteRequest request, CallResult result) {
        router.recordFinished(instance, request, result);
    }

    /** Returns the number of sidecars that calls may be sent to. */
    int sidecarsInService() {
        return candidates.values().stream().mapToInt(List::size).sum();
    }
}

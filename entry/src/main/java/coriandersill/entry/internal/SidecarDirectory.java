package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.routing.Candidate;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.RoutingPolicy;
import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The sidecars that this entry is connected to, with their last report and this entry's own calls there.
 *
 * <p>Guarded by a lock of rank {@link LockRank#ROUTING}.
 */
final class SidecarDirectory {
    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final Map<InstanceId, Known> sidecars = new HashMap<>();
    private final RoutingPolicy policy;

    SidecarDirectory(RoutingPolicy policy) {
        this.policy = policy;
    }

    void connected(WireConnection connection) {
        lock.run(() -> {
            Known known = sidecars.computeIfAbsent(connection.peer().instance(), id -> new Known());
            known.connection = connection;
            known.load = Optional.empty();
            known.stamp = Optional.empty();
            known.draining = false;
        });
    }

    void disconnected(WireConnection connection) {
        lock.run(() -> {
            Known known = sidecars.get(connection.peer().instance());
            if (known != null && connection.equals(known.connection)) {
                known.connection = null;
            }
        });
    }

    void pinged(WireConnection connection, Message.Ping ping) {
        lock.run(() -> {
            Known known = sidecars.get(connection.peer().instance());
            if (known != null && connection.equals(known.connection)) {
                known.load = ping.load();
                known.stamp = ping.stamp();
                known.draining = ping.draining();
            }
        });
    }

    /** Notes which sidecars the platform is about to take away. */
    void leaving(Set<InstanceId> leaving) {
        lock.run(() -> sidecars.forEach((id, known) -> known.leaving = leaving.contains(id)));
    }

    /** Chooses a sidecar and counts the call there until {@link #finished}. */
    Optional<Selection> select(RouteRequest request, int predictedTokens) {
        return lock.with(() -> policy.choose(request, candidates(request)).map(candidate -> {
            Known known = sidecars.get(candidate.instance());
            known.inFlight++;
            known.reservedTokens += predictedTokens;
            return new Selection(candidate.instance(), candidate.version(), known.connection, known.stamp);
        }));
    }

    void finished(InstanceId instance, int predictedTokens) {
        lock.run(() -> {
            Known known = sidecars.get(instance);
            if (known != null) {
                known.inFlight--;
                known.reservedTokens -= predictedTokens;
            }
        });
    }

    /** Whether any sidecar of the service could take a call of the version. */
    boolean serves(ServiceName service, VersionName version) {
        return lock.with(() -> sidecars.values().stream()
                .anyMatch(known -> known.usable()
                        && known.peer().service().equals(service.value())
                        && known.peer().version().equals(version.value())));
    }

    /** The open connection to an instance, if there is one. */
    Optional<WireConnection> connection(InstanceId instance) {
        return lock.with(() -> Optional.ofNullable(sidecars.get(instance)).flatMap(known -> known.open()));
    }

    int connected() {
        return lock.with(() -> (int) sidecars.values().stream()
                .filter(known -> known.open().isPresent())
                .count());
    }

    private List<Candidate> candidates(RouteRequest request) {
        List<Candidate> candidates = new ArrayList<>();
        sidecars.forEach((id, known) -> {
            if (known.usable()
                    && known.peer().service().equals(request.service().value())
                    && known.peer().version().equals(request.version().value())) {
                candidates.add(known.candidate(id));
            }
        });
        return candidates;
    }

    /** What is known of one sidecar; guarded by the directory's lock. */
    private static final class Known {
        private WireConnection connection;
        private Optional<Message.Load> load = Optional.empty();
        private Optional<Message.Stamp> stamp = Optional.empty();
        private boolean draining;
        private boolean leaving;
        private int inFlight;
        private long reservedTokens;

        Optional<WireConnection> open() {
            return Optional.ofNullable(connection).filter(WireConnection::open);
        }

        boolean usable() {
            return open().isPresent() && !draining && !leaving;
        }

        PeerIdentity peer() {
            return connection.peer();
        }

        Candidate candidate(InstanceId id) {
            return new Candidate(
                    id,
                    peer().zone(),
                    VersionName.of(peer().version()),
                    inFlight,
                    reservedTokens,
                    load.map(Message.Load::running).orElse(0),
                    load.map(Message.Load::limit).orElse(1),
                    load.map(Message.Load::memoryTokens).orElse(0L));
        }
    }
}

package coriandersill.rollout.log;

import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPhase;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.RolloutStateMachine;
import coriandersill.rollout.RolloutTransition;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * The declared rollouts and their states by the log.
 *
 * <p>Safe for use by many threads; the tables are guarded by a lock of rank {@link LockRank#ROLLOUT}, under which
 * nothing else is called.
 */
final class RolloutBook {
    private static final int MAX_TRACKS = 4;

    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final RolloutStateMachine fold = RolloutStateMachine.empty();
    private final Map<ServiceName, NavigableMap<Long, RolloutTrack>> tracks = new HashMap<>();
    private final Map<RolloutId, CompletableFuture<RolloutState>> waiters = new HashMap<>();

    /** Adds a declared rollout unless it is known or older than the newest known one; returns whether it was added. */
    boolean declare(RolloutTrack track) {
        RolloutId id = track.plan().id();
        return lock.with(() -> {
            NavigableMap<Long, RolloutTrack> known = tracks.computeIfAbsent(id.service(), ignored -> new TreeMap<>());
            if (!known.isEmpty() && known.lastKey() >= id.declaredAt()) {
                return false;
            }
            known.put(id.declaredAt(), track);
            if (known.size() > MAX_TRACKS) {
                known.remove(known.higherKey(known.firstKey()));
            }
            return true;
        });
    }

    /** Returns the rollouts that are next to be worked on, one a service. */
    List<RolloutTrack> active() {
        return lock.with(() -> {
            List<RolloutTrack> active = new ArrayList<>();
            tracks.keySet().forEach(service -> activeLocked(service).ifPresent(active::add));
            return active;
        });
    }

    /** Returns the rollout of a service that is under way, or else the last one that has its verdict. */
    Optional<RolloutTrack> current(ServiceName service) {
        return lock.with(() -> {
            Optional<RolloutTrack> active = activeLocked(service);
            return active.isPresent()
                    ? active
                    : Optional.ofNullable(tracks.getOrDefault(service, new TreeMap<>())
                                    .lastEntry())
                            .map(Map.Entry::getValue);
        });
    }

    /** Forgets a declared rollout; its state by the log stays known. */
    void forget(RolloutId id) {
        lock.run(() -> tracks.getOrDefault(id.service(), new TreeMap<>()).remove(id.declaredAt()));
    }

    Optional<RolloutState> state(RolloutId id) {
        return lock.with(() -> fold.state(id));
    }

    RolloutStateMachine.Outcome apply(long offset, Instant time, RolloutTransition transition) {
        return lock.with(() -> fold.apply(offset, time, transition));
    }

    void offsetsRestarted() {
        lock.run(fold::resetOffsets);
    }

    /** Returns a future of the verdict. */
    CompletableFuture<RolloutState> verdict(RolloutId id) {
        return lock.with(() -> {
            Optional<RolloutState> state =
                    fold.state(id).filter(known -> known.phase().isTerminal());
            if (state.isPresent()) {
                return CompletableFuture.completedFuture(state.get());
            }
            return waiters.computeIfAbsent(id, ignored -> new CompletableFuture<>());
        });
    }

    /** Takes out the future that waits for this verdict, to be completed by the caller. */
    Optional<CompletableFuture<RolloutState>> takeWaiter(RolloutId id) {
        return lock.with(() -> Optional.ofNullable(waiters.remove(id)));
    }

    private Optional<RolloutTrack> activeLocked(ServiceName service) {
        return tracks.getOrDefault(service, new TreeMap<>()).values().stream()
                .filter(track -> undecided(track.plan().id()))
                .findFirst();
    }

    private boolean undecided(RolloutId id) {
        Optional<RolloutState> newest = fold.state(id.service());
        if (newest.isPresent() && newest.get().id().declaredAt() > id.declaredAt()) {
            return false;
        }
        RolloutPhase phase = fold.state(id).map(RolloutState::phase).orElse(RolloutPhase.DECLARED);
        return !phase.isTerminal();
    }
}

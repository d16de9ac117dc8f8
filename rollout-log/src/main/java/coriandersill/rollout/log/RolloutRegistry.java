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
 * The declared rollouts and their states according to the log.
 *
 * <p>Thread-safe; the tables are guarded by a lock of rank {@link LockRank#ROLLOUT}, under which no callback is
 * invoked.
 */
final class RolloutRegistry {
    private static final int MAX_ROLLOUTS_PER_SERVICE = 4;

    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final RolloutStateMachine stateMachine = RolloutStateMachine.empty();
    private final Map<ServiceName, NavigableMap<Long, TrackedRollout>> rollouts = new HashMap<>();
    private final Map<RolloutId, CompletableFuture<RolloutState>> finalStateFutures = new HashMap<>();

    /** Adds a declared rollout if it is newer than all known ones of its service; returns whether it was added. */
    boolean add(TrackedRollout rollout) {
        RolloutId id = rollout.plan().id();
        return lock.with(() -> {
            NavigableMap<Long, TrackedRollout> known =
                    rollouts.computeIfAbsent(id.service(), ignored -> new TreeMap<>());
            if (!known.isEmpty() && known.lastKey() >= id.declarationPosition()) {
                return false;
            }
            known.put(id.declarationPosition(), rollout);
            if (known.size() > MAX_ROLLOUTS_PER_SERVICE) {
                // Keeps the oldest, which may be in progress, and the newest.
                known.remove(known.higherKey(known.firstKey()));
            }
            return true;
        });
    }

    /** Returns the oldest undecided rollout of each service. */
    List<TrackedRollout> active() {
        return lock.with(() -> {
            List<TrackedRollout> active = new ArrayList<>();
            rollouts.keySet().forEach(service -> activeLocked(service).ifPresent(active::add));
            return active;
        });
    }

    /** Returns the oldest undecided rollout of a service, or the newest declared one if all are decided. */
    Optional<TrackedRollout> current(ServiceName service) {
        return lock.with(() -> {
            Optional<TrackedRollout> active = activeLocked(service);
            return active.isPresent()
                    ? active
                    : Optional.ofNullable(rollouts.getOrDefault(service, new TreeMap<>())
                                    .lastEntry())
                            .map(Map.Entry::getValue);
        });
    }

    /** Removes a declared rollout; its state according to the log is kept. */
    void remove(RolloutId id) {
        lock.run(() -> rollouts.getOrDefault(id.service(), new TreeMap<>()).remove(id.declarationPosition()));
    }

    Optional<RolloutState> state(RolloutId id) {
        return lock.with(() -> stateMachine.state(id));
    }

    RolloutStateMachine.Outcome apply(long offset, Instant time, RolloutTransition transition) {
        return lock.with(() -> stateMachine.apply(offset, time, transition));
    }

    void resetOffsets() {
        lock.run(stateMachine::resetOffsets);
    }

    /** Returns a future of the final state of a rollout. */
    CompletableFuture<RolloutState> finalState(RolloutId id) {
        return lock.with(() -> {
            Optional<RolloutState> state =
                    stateMachine.state(id).filter(known -> known.phase().isTerminal());
            if (state.isPresent()) {
                return CompletableFuture.completedFuture(state.get());
            }
            return finalStateFutures.computeIfAbsent(id, ignored -> new CompletableFuture<>());
        });
    }

    /** Removes the pending future of a final state, for the caller to complete outside the lock. */
    Optional<CompletableFuture<RolloutState>> removeFinalStateFuture(RolloutId id) {
        return lock.with(() -> Optional.ofNullable(finalStateFutures.remove(id)));
    }

    /** Returns the oldest undecided rollout of a service; the caller must hold the lock. */
    private Optional<TrackedRollout> activeLocked(ServiceName service) {
        return rollouts.getOrDefault(service, new TreeMap<>()).values().stream()
                .filter(rollout -> isUndecided(rollout.plan().id()))
                .findFirst();
    }

    /** Whether a rollout can still change its state; the caller must hold the lock. */
    private boolean isUndecided(RolloutId id) {
        Optional<RolloutState> newest = stateMachine.state(id.service());
        if (newest.isPresent() && newest.get().id().declarationPosition() > id.declarationPosition()) {
            return false;
        }
        RolloutPhase phase = stateMachine.state(id).map(RolloutState::phase).orElse(RolloutPhase.DECLARED);
        return !phase.isTerminal();
    }
}

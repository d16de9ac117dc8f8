package coriandersill.rollout;

import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The rollouts whose new version receives no traffic from this process, because this process or a peer found the
 * version bad or an operator withdrew the rollout.
 *
 * <p>Stopping a rollout requires neither the log nor a lease. The stop remains until a verdict on a later rollout of
 * the service replaces it, even if the log records the rollout as done: a final state is not reversed, and the remedy
 * is a new rollout. One verdict is kept per service.
 *
 * <p>Thread-safe; the table is guarded by a lock of rank {@link LockRank#ROLLOUT}.
 */
public final class StoppedRollouts {
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final Map<ServiceName, RolloutVerdict> verdicts = new HashMap<>();

    private StoppedRollouts() {}

    /** Returns a table without stopped rollouts. */
    public static StoppedRollouts create() {
        return new StoppedRollouts();
    }

    /** Adds a verdict and returns whether it stops a rollout that was not stopped before. */
    public boolean accept(RolloutVerdict verdict) {
        return lock.with(() -> {
            RolloutVerdict known = verdicts.get(verdict.id().service());
            verdicts.merge(verdict.id().service(), verdict, RolloutVerdict::merge);
            return known == null
                    || known.id().declarationPosition() < verdict.id().declarationPosition();
        });
    }

    /** Returns the verdict by which a rollout is stopped, if it is stopped. */
    public Optional<RolloutVerdict> verdictFor(RolloutId id) {
        return lock.with(() -> Optional.ofNullable(verdicts.get(id.service()))
                .filter(verdict -> verdict.id().equals(id)));
    }

    /** Returns all verdicts, for sending to peers. */
    public List<RolloutVerdict> verdicts() {
        return lock.with(() -> List.copyOf(verdicts.values()));
    }
}

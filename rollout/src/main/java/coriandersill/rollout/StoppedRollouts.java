package coriandersill.rollout;

import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The new versions that this process sends nothing to, because it or a peer saw that they are bad.
 *
 * <p>A stop needs neither the log nor a lease. It stays until a later rollout of the service is declared, also when the
 * log says that the rollout is done: that verdict is not reversed, and what the stop protects against is mended by a
 * new rollout. One verdict is kept for each service.
 *
 * <p>Safe for use by many threads; the table is guarded by a lock of rank {@link LockRank#ROLLOUT}.
 */
public final class StoppedRollouts {
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final Map<ServiceName, RolloutVerdict> verdicts = new HashMap<>();

    private StoppedRollouts() {}

    /** Returns a table without stops. */
    public static StoppedRollouts create() {
        return new StoppedRollouts();
    }

    /** Takes a verdict of this process or of a peer and returns whether it stops a rollout that was not stopped. */
    public boolean accept(RolloutVerdict verdict) {
        return lock.with(() -> {
            RolloutVerdict known = verdicts.get(verdict.id().service());
            verdicts.merge(verdict.id().service(), verdict, RolloutVerdict::merge);
            return known == null || known.id().declaredAt() < verdict.id().declaredAt();
        });
    }

    /** Returns why a rollout is stopped here, if it is. */
    public Optional<RolloutVerdict> verdictFor(RolloutId id) {
        return lock.with(() -> Optional.ofNullable(verdicts.get(id.service()))
                .filter(verdict -> verdict.id().equals(id)));
    }

    /** Returns the verdicts to be sent to peers. */
    public List<RolloutVerdict> verdicts() {
        return lock.with(() -> List.copyOf(verdicts.values()));
    }
}

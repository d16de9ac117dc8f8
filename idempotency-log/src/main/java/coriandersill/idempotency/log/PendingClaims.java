package coriandersill.idempotency.log;

import coriandersill.core.CallId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.idempotency.ClaimKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Claims of this process that were sent and whose verdict has not been read yet.
 *
 * <p>Safe for use by many threads: one lock of rank {@link LockRank#IDEMPOTENCY} guards both maps. Whoever removes a
 * claim completes its future, outside the lock.
 */
final class PendingClaims {
    /**
     * One claim that waits for its verdict.
     *
     * @param key the key
     * @param call the call
     * @param usableUntilNanos when its holder stops using it, counted from before it was sent
     * @param result where the verdict goes
     */
    record PendingClaim(ClaimKey key, CallId call, long usableUntilNanos, CompletableFuture<ClaimResult> result) {}

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final Map<CallId, PendingClaim> byCall = new HashMap<>();
    private final Set<ClaimKey> keys = new HashSet<>();

    /** Adds a claim; false when this process already waits for one of the same key. */
    boolean add(PendingClaim pending) {
        return lock.with(() -> {
            if (!keys.add(pending.key())) {
                return false;
            }
            byCall.put(pending.call(), pending);
            return true;
        });
    }

    /** Takes a claim out; null when it is not there. */
    PendingClaim remove(CallId call) {
        return lock.with(() -> {
            PendingClaim pending = byCall.remove(call);
            if (pending != null) {
                keys.remove(pending.key());
            }
            return pending;
        });
    }

    /** Takes every claim out. */
    List<PendingClaim> removeAll() {
        return lock.with(() -> {
            List<PendingClaim> all = new ArrayList<>(byCall.values());
            byCall.clear();
            keys.clear();
            return all;
        });
    }
}

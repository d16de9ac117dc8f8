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
 * The claims that this process has appended, or is about to append, and not yet read back.
 *
 * <p>Thread-safe: a lock of rank {@link LockRank#IDEMPOTENCY} guards both collections. Whoever removes a claim must
 * complete its future, outside the lock.
 */
final class PendingClaims {
    /**
     * A claim that waits for its result.
     *
     * @param key the key
     * @param claimId the identifier of the claim
     * @param validUntilNanos the time until which the claim may be used, measured from before it was appended
     * @param result the future to complete with the result
     */
    record PendingClaim(ClaimKey key, CallId claimId, long validUntilNanos, CompletableFuture<ClaimResult> result) {}

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final Map<CallId, PendingClaim> claimsById = new HashMap<>();
    private final Set<ClaimKey> keys = new HashSet<>();

    /** Adds a claim; returns false if a claim of the same key is already pending. */
    boolean add(PendingClaim pending) {
        return lock.with(() -> {
            if (!keys.add(pending.key())) {
                return false;
            }
            claimsById.put(pending.claimId(), pending);
            return true;
        });
    }

    /** Removes and returns a claim; returns null if it is absent. */
    PendingClaim remove(CallId claimId) {
        return lock.with(() -> {
            PendingClaim pending = claimsById.remove(claimId);
            if (pending != null) {
                keys.remove(pending.key());
            }
            return pending;
        });
    }

    /** Removes and returns all claims. */
    List<PendingClaim> removeAll() {
        return lock.with(() -> {
            List<PendingClaim> all = new ArrayList<>(claimsById.values());
            claimsById.clear();
            keys.clear();
            return all;
        });
    }
}

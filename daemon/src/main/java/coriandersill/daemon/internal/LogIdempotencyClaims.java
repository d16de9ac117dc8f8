package coriandersill.daemon.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.WorkspaceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.entry.IdempotencyClaims;
import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.Fingerprint;
import coriandersill.idempotency.HeldClaim;
import coriandersill.idempotency.IdempotencyKey;
import coriandersill.idempotency.Outcome;
import coriandersill.idempotency.log.ClaimRequest;
import coriandersill.idempotency.log.ClaimResult;
import coriandersill.idempotency.log.ClaimService;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Claims idempotency keys on the platform's log for non-idempotent calls.
 *
 * <p>A map contains the claims that this process has won, by fencing token, until their calls end. It is guarded by a
 * lock of rank {@link LockRank#IDEMPOTENCY}.
 */
final class LogIdempotencyClaims implements IdempotencyClaims {
    private static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimService claims;
    private final Duration claimLifetime;
    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final Map<Long, HeldClaim> heldClaims = new HashMap<>();

    LogIdempotencyClaims(ClaimService claims, Duration claimLifetime) {
        this.claims = claims;
        this.claimLifetime = claimLifetime;
    }

    @Override
    public CompletableFuture<Claim> claim(WorkspaceName workspace, String key, byte[] requestIdentity) {
        IdempotencyKey parsed;
        try {
            parsed = IdempotencyKey.parse(key);
        } catch (IllegalArgumentException e) {
            return CallFailure.of(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, "Idempotency-Key: " + e.getMessage())
                    .asFuture();
        }
        ClaimRequest request =
                new ClaimRequest(ClaimKey.of(workspace, parsed), fingerprint(requestIdentity), claimLifetime);
        return claims.claim(request).thenApply(this::toClaim);
    }

    private Claim toClaim(ClaimResult result) {
        if (result instanceof ClaimResult.Won won) {
            lock.run(() -> heldClaims.put(won.claim().token(), won.claim()));
            return new Claim.Won(won.claim().token());
        }
        if (result instanceof ClaimResult.Replayed replayed) {
            Outcome outcome = replayed.outcome();
            return new Claim.Replayed(outcome.status(), outcome.contentType(), outcome.body(), outcome.bodyKept());
        }
        if (result instanceof ClaimResult.InProgress) {
            throw CallFailure.of(ErrorKind.IN_PROGRESS, "the first call with this key still runs")
                    .withRetryAfter(IN_PROGRESS_RETRY_AFTER);
        }
        if (result instanceof ClaimResult.Refused refused) {
            throw refused.failure();
        }
        // ClaimResult.Unknown: the lifetime of the first call's claim has passed without an outcome.
        throw CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the first call with this key ended without a known outcome");
    }

    @Override
    public void complete(Claim.Won claim, int status, String contentType, byte[] body) {
        removeAndApply(claim, heldClaim -> claims.complete(heldClaim, status, contentType, body));
    }

    @Override
    public void release(Claim.Won claim) {
        removeAndApply(claim, claims::release);
    }

    @Override
    public void abandon(Claim.Won claim) {
        // The log gets no record, so the key stays claimed; once the claim's lifetime has passed, the outcome counts as
        // unknown.
        removeAndApply(claim, heldClaim -> {});
    }

    private void removeAndApply(Claim.Won claim, Consumer<HeldClaim> action) {
        HeldClaim heldClaim = lock.with(() -> heldClaims.remove(claim.fencingToken()));
        if (heldClaim != null) {
            action.accept(heldClaim);
        }
    }

    private static Fingerprint fingerprint(byte[] requestIdentity) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(requestIdentity);
            return new Fingerprint(ByteBuffer.wrap(digest).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

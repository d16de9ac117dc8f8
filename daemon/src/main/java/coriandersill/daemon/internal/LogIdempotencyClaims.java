package coriandersill.daemon.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.WorkspaceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.entry.OnceOnlyCalls;
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
 * Runs calls that may not be repeated under claims on the platform's log.
 *
 * <p>The holds of won claims are kept until their calls end, guarded by a lock of rank {@link LockRank#IDEMPOTENCY}.
 */
final class LogIdempotencyClaims implements OnceOnlyCalls {
    private static final Duration IN_PROGRESS_RETRY = Duration.ofSeconds(1);

    private final ClaimService claims;
    private final Duration lifetime;
    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final Map<Long, HeldClaim> holds = new HashMap<>();

    LogIdempotencyClaims(ClaimService claims, Duration lifetime) {
        this.claims = claims;
        this.lifetime = lifetime;
    }

    @Override
    public CompletableFuture<Claim> claim(WorkspaceName workspace, String key, byte[] request) {
        IdempotencyKey parsed;
        try {
            parsed = IdempotencyKey.parse(key);
        } catch (IllegalArgumentException e) {
            return CallFailure.of(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, "Idempotency-Key: " + e.getMessage())
                    .asFuture();
        }
        ClaimRequest claim = new ClaimRequest(ClaimKey.of(workspace, parsed), fingerprint(request), lifetime);
        return claims.claim(claim).thenApply(this::answer);
    }

    private Claim answer(ClaimResult result) {
        if (result instanceof ClaimResult.Won won) {
            lock.run(() -> holds.put(won.claim().token(), won.claim()));
            return new Claim.Won(won.claim().token());
        }
        if (result instanceof ClaimResult.Replayed replayed) {
            Outcome outcome = replayed.outcome();
            return new Claim.Replayed(outcome.status(), outcome.contentType(), outcome.body(), outcome.bodyKept());
        }
        if (result instanceof ClaimResult.InProgress) {
            throw CallFailure.of(ErrorKind.IN_PROGRESS, "the first call with this key still runs")
                    .withRetryAfter(IN_PROGRESS_RETRY);
        }
        if (result instanceof ClaimResult.Refused refused) {
            throw refused.failure();
        }
        throw CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the first call with this key ended without a known outcome");
    }

    @Override
    public void completed(Claim.Won claim, int status, String contentType, byte[] body) {
        end(claim, hold -> claims.complete(hold, status, contentType, body));
    }

    @Override
    public void released(Claim.Won claim) {
        end(claim, claims::release);
    }

    @Override
    public void abandoned(Claim.Won claim) {
        end(claim, hold -> {});
    }

    private void end(Claim.Won claim, Consumer<HeldClaim> action) {
        HeldClaim hold = lock.with(() -> holds.remove(claim.fencingToken()));
        if (hold != null) {
            action.accept(hold);
        }
    }

    private static Fingerprint fingerprint(byte[] request) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(request);
            return new Fingerprint(ByteBuffer.wrap(digest).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

package coriandersill.idempotency;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;

/**
 * A claim that this process holds, with the time until which it may dispatch the call.
 *
 * <pre>{@code
 * GateStamp stamp = connection.newestStamp();         // get the stamp first,
 * Dispatch dispatch = claim.dispatch(stamp, 1, clock); // then check the claim
 * }</pre>
 *
 * <p>If the holder is paused before the check until the claim has expired, the check fails. If it is paused after the
 * check for longer than the gate accepts a stamp, the gate refuses the dispatch.
 *
 * @param key the key
 * @param token the fencing token
 * @param claimId the identifier of the claim, which {@link #dispatch} also uses as that of the call
 * @param validUntilNanos the time, by the holder's monotonic clock, after which it must not dispatch the call
 */
public record HeldClaim(ClaimKey key, long token, CallId claimId, long validUntilNanos) {

    /**
     * Returns the dispatch to send to the gate that issued {@code stamp}; throws a {@link CallFailure} of kind
     * {@link ErrorKind#DEADLINE_EXCEEDED} if the claim is no longer valid, in which case nothing has been sent.
     */
    public Dispatch dispatch(GateStamp stamp, int attempt, MonotonicClock clock) {
        if (clock.nanos() - validUntilNanos >= 0) {
            throw CallFailure.of(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the claim of idempotency key " + key.key() + " expired before the call was dispatched");
        }
        return new Dispatch(key, token, claimId, attempt, stamp);
    }
}

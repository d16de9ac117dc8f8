package coriandersill.idempotency;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;

/**
 * A claim that this process has won, for as long as it may be used.
 *
 * <pre>{@code
 * GateStamp stamp = connection.newestStamp();        // first the stamp,
 * Dispatch dispatch = hold.dispatch(stamp, 1, clock); // then the check
 * }</pre>
 *
 * <p>A holder that pauses before the check fails it; one that pauses after it carries a stamp that has grown old.
 *
 * @param key the key
 * @param token the fencing token
 * @param call the call that holds it
 * @param validUntilNanos when the holder stops handing the call on, by its own monotonic clock
 */
public record HeldClaim(ClaimKey key, long token, CallId call, long validUntilNanos) {

    /**
     * Returns what to send to the gate that gave {@code stamp}; throws {@link ErrorKind#DEADLINE_EXCEEDED} when the
     * claim's time is over, with nothing sent.
     */
    public Dispatch dispatch(GateStamp stamp, int attempt, MonotonicClock clock) {
        if (clock.nanos() - validUntilNanos >= 0) {
            throw CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the claim's time passed before the call was handed on");
        }
        return new Dispatch(key, token, call, attempt, stamp);
    }
}

package coriandersill.routing;

import coriandersill.core.CallFailure;
import coriandersill.core.Ran;
import java.time.Duration;

/**
 * A failed attempt, as input to the decision whether to retry.
 *
 * @param failure the error and whether the call ran
 * @param repeatable whether the call may safely run more than once
 * @param tokensDelivered number of tokens or events that the caller has received; 0 for a plain call, or if a further
 *     attempt can continue after them
 * @param attempt the number of the failed attempt, starting at 1; attempts that did not run may be left out of the
 *     count
 * @param remaining the time left until the caller's deadline
 * @param ranBefore whether an earlier attempt of the call ran
 */
public record AttemptFailure(
        CallFailure failure, boolean repeatable, long tokensDelivered, int attempt, Duration remaining, Ran ranBefore) {

    /** Creates a failure for a call whose earlier attempts, if any, did not run. */
    public AttemptFailure(
            CallFailure failure, boolean repeatable, long tokensDelivered, int attempt, Duration remaining) {
        this(failure, repeatable, tokensDelivered, attempt, remaining, Ran.NO);
    }

    /** Returns whether the call ran in this or any earlier attempt. */
    public Ran ranInAnyAttempt() {
        if (ranBefore == Ran.YES || failure.ran() == Ran.YES) {
            return Ran.YES;
        }
        return ranBefore == Ran.UNKNOWN ? Ran.UNKNOWN : failure.ran();
    }
}

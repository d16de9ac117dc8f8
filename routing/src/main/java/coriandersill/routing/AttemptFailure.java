package coriandersill.routing;

import coriandersill.core.CallFailure;
import coriandersill.core.Ran;
import java.time.Duration;

/**
 * A failed attempt, for which a repeat is considered.
 *
 * @param failure how it failed and whether it ran
 * @param repeatable whether the call may run more than once; true for a generation
 * @param tokensDelivered tokens that the caller already has; 0 for a plain call
 * @param attempt the attempt that failed, from 1
 * @param remaining the time until the caller's deadline
 * @param ranBefore whether an earlier attempt of the call ran
 */
public record AttemptFailure(
        CallFailure failure, boolean repeatable, long tokensDelivered, int attempt, Duration remaining, Ran ranBefore) {

    /** Creates the failure of a call whose earlier attempts, if any, did not run. */
    public AttemptFailure(
            CallFailure failure, boolean repeatable, long tokensDelivered, int attempt, Duration remaining) {
        this(failure, repeatable, tokensDelivered, attempt, remaining, Ran.NO);
    }

    /** Whether the call ran in this or an earlier attempt. */
    public Ran ranInAnyAttempt() {
        if (ranBefore == Ran.YES || failure.ran() == Ran.YES) {
            return Ran.YES;
        }
        return ranBefore == Ran.UNKNOWN ? Ran.UNKNOWN : failure.ran();
    }
}

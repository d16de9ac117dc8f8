package coriandersill.routing;

import coriandersill.core.CallFailure;
import java.time.Duration;

/**
 * A failed attempt, for which a repeat is considered.
 *
 * @param failure how it failed and whether it ran
 * @param repeatable whether the call may run more than once; true for a generation
 * @param tokensDelivered tokens that the caller already has; 0 for a plain call
 * @param attempt the attempt that failed, from 1
 * @param remaining the time until the caller's deadline
 */
public record AttemptFailure(
        CallFailure failure, boolean repeatable, long tokensDelivered, int attempt, Duration remaining) {}

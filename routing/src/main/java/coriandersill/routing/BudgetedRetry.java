package coriandersill.routing;

import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Retries attempts that are safe to repeat, within a {@link RetryBudget} and with exponential backoff and full jitter.
 *
 * <p>A call is never retried if tokens have been delivered and a further attempt cannot continue after them, or if it
 * is not repeatable and may have run in the failed attempt. Thread-safe if {@code random} is.
 */
public final class BudgetedRetry implements RetryPolicy {
    private static final Set<ErrorKind> TRANSIENT_KINDS = EnumSet.of(
            ErrorKind.OVERLOADED,
            ErrorKind.UNAVAILABLE,
            ErrorKind.DRAINING,
            ErrorKind.UPSTREAM_ERROR,
            ErrorKind.UPSTREAM_ENDED,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.INTERNAL);

    /** The maximum number of doublings of the delay, which keeps the shift from overflowing. */
    private static final int MAX_BACKOFF_SHIFT = 16;

    private final RetryBudget budget;
    private final int maxAttempts;
    private final Duration initialDelay;
    private final Duration maxDelay;
    private final RandomGenerator random;

    private BudgetedRetry(
            RetryBudget budget, int maxAttempts, Duration initialDelay, Duration maxDelay, RandomGenerator random) {
        this.budget = Objects.requireNonNull(budget, "budget");
        this.maxAttempts = maxAttempts;
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Creates a policy.
     *
     * @param budget limits the retries of all calls together
     * @param maxAttempts the maximum number of attempts per call, including the first; at least 1
     * @param initialDelay the upper bound of the delay before the first retry; doubled for each further retry
     * @param maxDelay the cap on the doubled upper bound
     * @param random draws each delay uniformly between zero and its upper bound
     */
    public static BudgetedRetry of(
            RetryBudget budget, int maxAttempts, Duration initialDelay, Duration maxDelay, RandomGenerator random) {
        if (maxAttempts < 1 || initialDelay.isNegative() || maxDelay.compareTo(initialDelay) < 0) {
            throw new IllegalArgumentException("expected maxAttempts >= 1 and 0 <= initialDelay <= maxDelay, found "
                    + maxAttempts + ", " + initialDelay + " and " + maxDelay);
        }
        return new BudgetedRetry(budget, maxAttempts, initialDelay, maxDelay, random);
    }

    @Override
    public void callStarted() {
        budget.recordFirstAttempt();
    }

    @Override
    public RetryDecision decide(AttemptFailure failure) {
        if (failure.tokensDelivered() > 0) {
            return giveUp(failure, "tokens were already delivered");
        }
        if (!TRANSIENT_KINDS.contains(failure.failure().kind())) {
            return giveUp(failure, "the error is not transient");
        }
        if (!failure.repeatable() && failure.failure().ran() != Ran.NO) {
            return giveUp(failure, "the call may have run and is not repeatable");
        }
        if (failure.attempt() >= maxAttempts) {
            return giveUp(failure, "maximum of " + maxAttempts + " attempts reached");
        }
        Duration delay = delay(failure.attempt());
        if (delay.compareTo(failure.remaining()) >= 0) {
            return giveUp(failure, "the retry delay does not fit before the deadline");
        }
        if (!budget.tryAcquireRetry()) {
            return giveUp(failure, "the retry budget is exhausted");
        }
        return new RetryDecision.Retry(delay);
    }

    private static RetryDecision giveUp(AttemptFailure failure, String reason) {
        return new RetryDecision.GiveUp(reason, failure.failure().withRan(failure.ranInAnyAttempt()));
    }

    private Duration delay(int attempt) {
        long backoffNanos = initialDelay.toNanos() << Math.min(attempt - 1, MAX_BACKOFF_SHIFT);
        long upperBoundNanos = Math.min(backoffNanos, maxDelay.toNanos());
        return Duration.ofNanos((long) (upperBoundNanos * random.nextDouble()));
    }
}

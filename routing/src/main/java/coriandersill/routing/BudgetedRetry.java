package coriandersill.routing;

import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Repeats attempts where that is safe, within a {@link RetryBudget}, after a jittered delay that doubles.
 *
 * <p>An attempt is never repeated once tokens were delivered, nor when the call may not be repeated and it is not
 * certain that it did not run. Safe for use by many threads if {@code random} is.
 */
public final class BudgetedRetry implements RetryPolicy {
    private static final Set<ErrorKind> PASSING = EnumSet.of(
            ErrorKind.OVERLOADED,
            ErrorKind.UNAVAILABLE,
            ErrorKind.DRAINING,
            ErrorKind.UPSTREAM_ERROR,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.INTERNAL);
    private static final int LARGEST_DOUBLING = 16;

    private final RetryBudget budget;
    private final int maxAttempts;
    private final Duration firstDelay;
    private final Duration longestDelay;
    private final RandomGenerator random;

    private BudgetedRetry(
            RetryBudget budget, int maxAttempts, Duration firstDelay, Duration longestDelay, RandomGenerator random) {
        this.budget = Objects.requireNonNull(budget, "budget");
        this.maxAttempts = maxAttempts;
        this.firstDelay = firstDelay;
        this.longestDelay = longestDelay;
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns the policy.
     *
     * @param budget how many repeats are granted in all
     * @param maxAttempts the most attempts of one call, the first included; 1 or more
     * @param firstDelay the longest delay before the first repeat; it doubles with each further one
     * @param longestDelay the delay that doubling stops at
     * @param random draws the part of the delay that is waited
     */
    public static BudgetedRetry of(
            RetryBudget budget, int maxAttempts, Duration firstDelay, Duration longestDelay, RandomGenerator random) {
        if (maxAttempts < 1 || firstDelay.isNegative() || longestDelay.compareTo(firstDelay) < 0) {
            throw new IllegalArgumentException("expected maxAttempts >= 1 and 0 <= firstDelay <= longestDelay, found "
                    + maxAttempts + ", " + firstDelay + " and " + longestDelay);
        }
        return new BudgetedRetry(budget, maxAttempts, firstDelay, longestDelay, random);
    }

    @Override
    public void callStarted() {
        budget.recordFirstAttempt();
    }

    @Override
    public RetryDecision decide(AttemptFailure failure) {
        if (failure.tokensDelivered() > 0) {
            return giveUp(failure, "tokens were delivered");
        }
        if (!PASSING.contains(failure.failure().kind())) {
            return giveUp(failure, "the failure would repeat itself");
        }
        if (!failure.repeatable() && failure.failure().ran() != Ran.NO) {
            return giveUp(failure, "the call may have run and may not be repeated");
        }
        if (failure.attempt() >= maxAttempts) {
            return giveUp(failure, "no attempt is left");
        }
        Duration delay = delay(failure.attempt());
        if (delay.compareTo(failure.remaining()) >= 0) {
            return giveUp(failure, "the deadline is too near");
        }
        if (!budget.tryAcquireRetry()) {
            return giveUp(failure, "the retry budget is spent");
        }
        return new RetryDecision.Retry(delay);
    }

    private static RetryDecision giveUp(AttemptFailure failure, String reason) {
        return new RetryDecision.GiveUp(reason, failure.failure().withRan(failure.ranInAnyAttempt()));
    }

    private Duration delay(int attempt) {
        long doubled = firstDelay.toNanos() << Math.min(attempt - 1, LARGEST_DOUBLING);
        long longest = Math.min(doubled, longestDelay.toNanos());
        return Duration.ofNanos((long) (longest * random.nextDouble()));
    }
}

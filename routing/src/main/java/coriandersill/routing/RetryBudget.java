package coriandersill.routing;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.function.DoubleSupplier;

/**
 * A token bucket that limits retries to a fraction of the first attempts.
 *
 * <p>After {@code n} first attempts, at most {@code burst + ratio * n} retries have been granted. Thread-safe: guarded
 * by a lock of rank {@link LockRank#ROUTING}.
 */
public final class RetryBudget {
    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final double ratio;
    private final DoubleSupplier burst;
    private double tokens;

    private RetryBudget(double ratio, DoubleSupplier burst) {
        this.ratio = ratio;
        this.burst = burst;
        this.tokens = burst.getAsDouble();
    }

    /** Creates a full bucket; {@code ratio} is from 0 to 1 and {@code burst} is at least 0. */
    public static RetryBudget of(double ratio, double burst) {
        if (!(ratio >= 0 && ratio <= 1 && burst >= 0)) {
            throw new IllegalArgumentException(
                    "expected ratio from 0 to 1 and burst >= 0, found " + ratio + " and " + burst);
        }
        return new RetryBudget(ratio, () -> burst);
    }

    /** Creates a full bucket with a variable burst, such as one process's part of a shared budget. */
    public static RetryBudget of(double ratio, DoubleSupplier burst) {
        // Validates the arguments.
        of(ratio, burst.getAsDouble());
        return new RetryBudget(ratio, burst);
    }

    /** Records a first attempt, which adds {@code ratio} tokens to the bucket. */
    public void recordFirstAttempt() {
        // A bucket that holds less than one token could never grant a retry, hence the capacity of at least 1.
        lock.run(() -> tokens = Math.min(Math.max(1, burst.getAsDouble()), tokens + ratio));
    }

    /** Takes one token for a retry; returns false if the budget is exhausted. */
    public boolean tryAcquireRetry() {
        return lock.with(() -> {
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        });
    }
}

package coriandersill.routing;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.function.DoubleSupplier;

/**
 * A token bucket that holds repeated attempts to a part of the first attempts.
 *
 * <p>After {@code n} first attempts at most {@code burst + ratio * n} repeats have been granted. Safe for use by many
 * threads: guarded by a lock of rank {@link LockRank#ROUTING}.
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

    /** Returns a full bucket; {@code ratio} is from 0 to 1 and {@code burst} 0 or more. */
    public static RetryBudget of(double ratio, double burst) {
        if (!(ratio >= 0 && ratio <= 1 && burst >= 0)) {
            throw new IllegalArgumentException(
                    "expected ratio from 0 to 1 and burst >= 0, found " + ratio + " and " + burst);
        }
        return new RetryBudget(ratio, () -> burst);
    }

    /** Returns a full bucket whose burst changes, as where it is a part of what several processes share. */
    public static RetryBudget of(double ratio, DoubleSupplier burst) {
        of(ratio, burst.getAsDouble());
        return new RetryBudget(ratio, burst);
    }

    /** Notes a first attempt. */
    public void recordFirstAttempt() {
        lock.run(() -> tokens = Math.min(Math.max(1, burst.getAsDouble()), tokens + ratio));
    }

    /** Takes one repeat from the budget; returns false when there is none. */
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

package coriandersill.routing;

import coriandersill.core.RouteName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Hedges repeatable lookups that take longer than a quantile of the route's latency, within a budget.
 *
 * <p>The quantile is estimated by steps in proportion to the estimate, so that it needs one number for each route. Safe
 * for use by many threads: guarded by a lock of rank {@link LockRank#ROUTING}.
 */
public final class QuantileHedge implements HedgePolicy {
    private static final double STEP = 0.1;
    private static final int FIRST_SAMPLES = 20;

    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final double quantile;
    private final RetryBudget budget;
    private final Map<RouteName, Estimate> estimates = new HashMap<>();

    private QuantileHedge(double quantile, RetryBudget budget) {
        this.quantile = quantile;
        this.budget = Objects.requireNonNull(budget, "budget");
    }

    /** Returns the policy for a quantile between 0 and 1. */
    public static QuantileHedge of(double quantile, RetryBudget budget) {
        if (!(quantile > 0 && quantile < 1)) {
            throw new IllegalArgumentException("quantile: expected between 0 and 1, found " + quantile);
        }
        return new QuantileHedge(quantile, budget);
    }

    @Override
    public Optional<Duration> delay(RouteName route, boolean repeatableLookup) {
        if (!repeatableLookup) {
            return Optional.empty();
        }
        budget.recordFirstAttempt();
        return lock.with(() -> Optional.ofNullable(estimates.get(route))
                .filter(estimate -> estimate.samples >= FIRST_SAMPLES)
                .map(estimate -> Duration.ofNanos((long) estimate.nanos)));
    }

    @Override
    public boolean tryAcquirePermit() {
        return budget.tryAcquireRetry();
    }

    @Override
    public void recordLatency(RouteName route, Duration latency) {
        lock.run(() -> estimates.computeIfAbsent(route, name -> new Estimate()).add(latency.toNanos(), quantile));
    }

    /** A running estimate of one quantile. */
    private static final class Estimate {
        private double nanos;
        private int samples;

        private void add(long value, double quantile) {
            if (samples++ == 0) {
                nanos = value;
            } else {
                nanos += STEP * nanos * (value > nanos ? quantile : quantile - 1);
            }
        }
    }
}

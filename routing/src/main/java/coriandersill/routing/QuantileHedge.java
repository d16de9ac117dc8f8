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
 * Hedges idempotent plain calls that take longer than a quantile of the route's latency, within a budget.
 *
 * <p>The quantile is estimated online: each sample moves the estimate by a step proportional to the estimate, so only
 * one number is kept per route. Thread-safe: guarded by a lock of rank {@link LockRank#ROUTING}.
 */
public final class QuantileHedge implements HedgePolicy {
    /**
     * The step by which a sample moves the estimate, as a fraction of the estimate, before weighting by the quantile.
     */
    private static final double RELATIVE_STEP = 0.1;

    /** The number of samples of a route from which its calls are hedged. */
    private static final int MIN_SAMPLES = 20;

    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final double quantile;
    private final RetryBudget budget;
    private final Map<RouteName, Estimate> estimates = new HashMap<>();

    private QuantileHedge(double quantile, RetryBudget budget) {
        this.quantile = quantile;
        this.budget = Objects.requireNonNull(budget, "budget");
    }

    /** Creates the policy for a quantile between 0 and 1, both exclusive. */
    public static QuantileHedge of(double quantile, RetryBudget budget) {
        if (!(quantile > 0 && quantile < 1)) {
            throw new IllegalArgumentException("quantile: expected between 0 and 1, found " + quantile);
        }
        return new QuantileHedge(quantile, budget);
    }

    @Override
    public Optional<Duration> delay(RouteName route, boolean repeatablePlainCall) {
        if (!repeatablePlainCall) {
            return Optional.empty();
        }
        // Every idempotent plain call adds to the budget, whether or not it is hedged.
        budget.recordFirstAttempt();
        return lock.with(() -> Optional.ofNullable(estimates.get(route))
                .filter(estimate -> estimate.samples >= MIN_SAMPLES)
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

    /** A running estimate of the latency quantile of one route. */
    private static final class Estimate {
        private double nanos;
        private int samples;

        private void add(long value, double quantile) {
            if (samples++ == 0) {
                nanos = value;
            } else {
                nanos += RELATIVE_STEP * nanos * (value > nanos ? quantile : quantile - 1);
            }
        }
    }
}

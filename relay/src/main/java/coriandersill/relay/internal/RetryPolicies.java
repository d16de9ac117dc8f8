package coriandersill.relay.internal;

import coriandersill.core.ServiceName;
import coriandersill.routing.BudgetedRetry;
import coriandersill.routing.RetryBudget;
import coriandersill.routing.RetryPolicy;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/** Creates the retry policy of each call from its route, with one retry budget per service. Thread-safe. */
final class RetryPolicies {
    private final double ratio;
    private final DoubleSupplier burst;
    private final RandomGenerator random;
    private final Map<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

    RetryPolicies(double ratio, DoubleSupplier burst, RandomGenerator random) {
        this.ratio = ratio;
        this.burst = burst;
        this.random = random;
    }

    /** Returns the retry policy of a call; retries are made without a delay. */
    RetryPolicy forCall(CallPlan plan) {
        RetryBudget budget = budgets.computeIfAbsent(plan.service().name(), name -> RetryBudget.of(ratio, burst));
        return BudgetedRetry.of(budget, plan.route().maxAttempts(), Duration.ZERO, Duration.ZERO, random);
    }
}

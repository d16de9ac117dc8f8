package coriandersill.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against retries that run a call twice or deliver tokens twice, and against retries that multiply the load of
 * an overloaded upstream.
 */
final class RetryTest {
    private static final long SEED = 31;
    private static final Duration MINUTE = Duration.ofMinutes(1);

    private static BudgetedRetry policy(RetryBudget budget) {
        return BudgetedRetry.of(budget, 3, Duration.ofMillis(10), Duration.ofMillis(100), new SplittableRandom(SEED));
    }

    private static AttemptFailure failure(ErrorKind kind, Ran ran, boolean repeatable, long tokens) {
        return new AttemptFailure(CallFailure.of(kind, "").withRan(ran), repeatable, tokens, 1, MINUTE);
    }

    @Test
    void onlyCallsThatAreSafeToRepeatAreRetried() {
        for (ErrorKind kind : ErrorKind.values()) {
            for (Ran ran : Ran.values()) {
                for (boolean repeatable : new boolean[] {true, false}) {
                    for (long tokens : new long[] {0, 1}) {
                        RetryDecision decision =
                                policy(RetryBudget.of(0.1, 10)).decide(failure(kind, ran, repeatable, tokens));
                        boolean safe = tokens == 0 && (repeatable || ran == Ran.NO);
                        if (!safe) {
                            assertThat(kind + " " + ran, decision, is(instanceOf(RetryDecision.GiveUp.class)));
                        }
                    }
                }
            }
        }
    }

    @Test
    void aCallThatWasNotRunIsRetriedAfterATransientErrorAndNotAfterAPermanentOne() {
        BudgetedRetry policy = policy(RetryBudget.of(0.1, 10));
        for (ErrorKind kind : List.of(ErrorKind.OVERLOADED, ErrorKind.UNAVAILABLE, ErrorKind.DRAINING)) {
            assertThat(policy.decide(failure(kind, Ran.NO, false, 0)), is(instanceOf(RetryDecision.Retry.class)));
        }
        for (ErrorKind kind : List.of(ErrorKind.INVALID_REQUEST, ErrorKind.QUOTA_EXCEEDED, ErrorKind.FENCED)) {
            assertThat(policy.decide(failure(kind, Ran.NO, true, 0)), is(instanceOf(RetryDecision.GiveUp.class)));
        }
    }

    @Test
    void anAttemptLostBeforeTheFirstTokenIsRetriedOnlyWhileTimeAndAttemptsAreLeft() {
        BudgetedRetry policy = policy(RetryBudget.of(0.1, 10));
        CallFailure lost = CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "");
        assertThat(
                policy.decide(new AttemptFailure(lost, true, 0, 1, MINUTE)), is(instanceOf(RetryDecision.Retry.class)));
        for (AttemptFailure last : List.of(
                new AttemptFailure(lost, true, 0, 3, MINUTE), new AttemptFailure(lost, true, 0, 1, Duration.ZERO))) {
            assertThat(policy.decide(last), is(instanceOf(RetryDecision.GiveUp.class)));
        }
    }

    @Test
    void aRefusalAfterAnAttemptThatRanIsNotReportedAsNotRun() {
        CallFailure refusal = CallFailure.of(ErrorKind.OVERLOADED, "");
        for (Ran before : Ran.values()) {
            AttemptFailure last = new AttemptFailure(refusal, true, 0, 3, MINUTE, before);
            for (RetryPolicy policy : List.of(policy(RetryBudget.of(0.1, 10)), NoRetry.create())) {
                CallFailure reported = ((RetryDecision.GiveUp) policy.decide(last)).failure();
                assertThat(reported.kind(), is(ErrorKind.OVERLOADED));
                assertThat(reported.ran(), is(before));
            }
        }
    }

    @Test
    void underOverloadAttemptsStayWithinTheBudgetedMultipleOfFirstAttempts() {
        BudgetedRetry policy = policy(RetryBudget.of(0.1, 20));
        long attempts = 0;
        for (int call = 0; call < 10_000; call++) {
            policy.callStarted();
            attempts++;
            int attempt = 1;
            while (policy.decide(new AttemptFailure(CallFailure.of(ErrorKind.OVERLOADED, ""), true, 0, attempt, MINUTE))
                    instanceof RetryDecision.Retry) {
                attempt++;
                attempts++;
            }
        }
        assertThat(attempts, lessThanOrEqualTo((long) (10_000 * 1.1 + 20)));
        assertThat(attempts, greaterThan(10_900L));
    }

    @Test
    void delaysAreJitteredAndBounded() {
        BudgetedRetry policy = policy(RetryBudget.of(1, 1_000));
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            RetryDecision decision = policy.decide(failure(ErrorKind.OVERLOADED, Ran.NO, true, 0));
            millis.add(((RetryDecision.Retry) decision).delay().toMillis());
        }
        assertThat("seed " + SEED, millis, everyItem(lessThan(10L)));
        assertThat("seed " + SEED, millis.stream().distinct().count(), is(10L));
    }

    @Test
    void onlyRepeatablePlainCallsAreHedgedAfterALatencyQuantileAndWithinABudget() {
        RouteName route = RouteName.of("lookup");
        QuantileHedge hedge = QuantileHedge.of(0.95, RetryBudget.of(0.05, 1));
        assertThat(hedge.delay(route, true), is(Optional.empty()));
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < 2_000; i++) {
            hedge.recordLatency(route, Duration.ofNanos(random.nextLong(1_000_000)));
        }
        long delay = hedge.delay(route, true).orElseThrow().toNanos();
        assertThat("seed " + SEED, delay, greaterThan(800_000L));
        assertThat(hedge.delay(route, false), is(Optional.empty()));
        assertThat(NoHedge.create().delay(route, true), is(Optional.empty()));
        int permitted = 0;
        for (int i = 0; i < 1_000; i++) {
            hedge.delay(route, true);
            permitted += hedge.tryAcquirePermit() ? 1 : 0;
        }
        assertThat(permitted, lessThanOrEqualTo(51));
    }
}

package coriandersill.leases;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;

/**
 * Checks that only the latest holder of a lease can act (case V5 in docs/design/leases.md), and the order of the weight
 * load queue.
 */
final class LeaseStateMachineTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TERM = Duration.ofSeconds(10);
    private static final LeaseName NAME = LeaseName.of("rollout/scribe");
    private static final LeaseHolder HOLDER_A = new LeaseHolder(InstanceId.of("entry-a"), 1);
    private static final LeaseHolder HOLDER_B = new LeaseHolder(InstanceId.of("entry-b"), 1);

    private final LeaseStateMachine leases = LeaseStateMachine.of();
    private final ManualClock clock = ManualClock.startingAt(START);

    @Test
    void theFirstHolderKeepsTheLeaseUntilItExpiresByTheLogsClock() {
        assertThat(wonLease(leases.apply(5, START, acquire(HOLDER_A))).token(), is(5L));
        assertThat(leases.apply(6, START.plusSeconds(9), acquire(HOLDER_B)), instanceOf(LeaseEffect.Refused.class));
        assertThat(
                wonLease(leases.apply(7, START.plusSeconds(10), acquire(HOLDER_B)))
                        .token(),
                is(7L));
    }

    @Test
    void aRenewalKeepsTheTokenAndIsRefusedOnceTheLeaseHasExpired() {
        leases.apply(5, START, acquire(HOLDER_A));
        LeaseRecord renew = new LeaseRecord.Renew(NAME, HOLDER_A, 5, TERM, 1);
        assertThat(
                ((LeaseEffect.Renewed) leases.apply(6, START.plusSeconds(9), renew))
                        .lease()
                        .token(),
                is(5L));
        assertThat(leases.apply(7, START.plusSeconds(19), renew), instanceOf(LeaseEffect.Refused.class));
        leases.apply(8, START.plusSeconds(19), acquire(HOLDER_B));
        assertThat(leases.apply(9, START.plusSeconds(20), renew), instanceOf(LeaseEffect.Refused.class));
        assertThat(leases.find(NAME).orElseThrow().holder(), is(HOLDER_B));
    }

    @Test
    void aReleaseWithAnOldTokenOrByAnotherIncarnationHasNoEffect() {
        leases.apply(5, START, acquire(HOLDER_A));
        LeaseHolder restarted = new LeaseHolder(HOLDER_A.instance(), 2);
        leases.apply(6, START, new LeaseRecord.Release(NAME, HOLDER_A, 4));
        leases.apply(7, START, new LeaseRecord.Release(NAME, restarted, 5));
        assertThat(leases.isFree(NAME, START), is(false));
        leases.apply(8, START, new LeaseRecord.Release(NAME, HOLDER_A, 5));
        assertThat(wonLease(leases.apply(9, START, acquire(HOLDER_B))).token(), is(9L));
    }

    @Test
    void aBackwardStepOfTheLogsClockNeitherFreesNorExtendsALease() {
        leases.apply(5, START, acquire(HOLDER_A));
        leases.apply(6, START.plusSeconds(9), new LeaseRecord.Renew(NAME, HOLDER_A, 5, TERM, 1));
        assertThat(leases.apply(7, START.minusSeconds(60), acquire(HOLDER_B)), instanceOf(LeaseEffect.Refused.class));
        assertThat(leases.find(NAME).orElseThrow().expiresAt(), is(START.plusSeconds(19)));
    }

    @Test
    void aReaderThatMissedRecordsRefusesRequestsForUnknownLeasesUntilTheMaximumTermHasPassed() {
        leases.setHistoryStart(START, TERM);
        assertThat(leases.isFree(NAME, START.plusSeconds(9)), is(false));
        assertThat(leases.apply(5, START.plusSeconds(9), acquire(HOLDER_A)), instanceOf(LeaseEffect.Refused.class));
        LeaseName other = LeaseName.of("other");
        LeaseRecord late = new LeaseRecord.Acquire(other, HOLDER_A, TERM, 1);
        assertThat(leases.apply(6, START.plusSeconds(10), late), instanceOf(LeaseEffect.Won.class));
    }

    @Test
    void aRestartedGateAdmitsNoOrderBeforeItKnowsTheHighestToken() {
        OrderGate gate = OrderGate.of();
        assertThat(refusalKind(gate, 7), is(ErrorKind.UNAVAILABLE));
        gate.initialize(9);
        assertThat(refusalKind(gate, 7), is(ErrorKind.FENCED));
        assertThat(gate.admit(order(9)).isEmpty(), is(true));
        gate.observe(12);
        assertThat(refusalKind(gate, 9), is(ErrorKind.FENCED));
        assertThat(gate.highestToken(), is(12L));
    }

    /**
     * Guards against orders of a previous holder taking effect: a holder is partitioned, a standby takes over, and the
     * first holder resumes ("k8s_lease has no epoch fence", cited in docs/design/leases.md). Compares three kinds of
     * fences: a flag that is updated late, a counter that restarts when the lease is recreated, and the offset of the
     * log.
     */
    @Test
    void onlyOffsetTokensPreventOrdersOfAPreviousHolder() {
        int flag = countStaleOrders((gate, token) -> true, 0);
        int counter = countStaleOrders((gate, token) -> gate.admit(order(token)).isEmpty(), 3);
        int offset = countStaleOrders((gate, token) -> gate.admit(order(token)).isEmpty(), 0);
        System.out.println("stale orders in 10,000 schedules: flag " + flag + ", counter that restarts " + counter
                + ", offset " + offset);
        assertThat("a flag that is updated late admits stale orders", flag, greaterThan(0));
        assertThat("a counter that restarts admits stale orders", counter, greaterThan(0));
        assertThat(offset, is(0));
    }

    /**
     * Counts, over seeded schedules, the orders that take effect after an order of a later holder.
     *
     * @param counterPeriod the number of holders after which the tokens restart; 0 if they always increase
     */
    private static int countStaleOrders(BiFunction<OrderGate, Long, Boolean> fence, int counterPeriod) {
        int stale = 0;
        for (int seed = 0; seed < 10_000; seed++) {
            Random random = new Random(seed);
            OrderGate gate = OrderGate.of();
            gate.initialize(Long.MIN_VALUE);
            List<Long> tokens = new ArrayList<>();
            int latestHolder = -1;
            for (int step = 0; step < 12; step++) {
                if (tokens.isEmpty() || random.nextInt(3) == 0) {
                    int holderNumber = tokens.size();
                    tokens.add((long) (counterPeriod == 0 ? 10 * holderNumber : holderNumber % counterPeriod));
                } else {
                    int holder = Math.max(0, tokens.size() - 1 - random.nextInt(3));
                    if (fence.apply(gate, tokens.get(holder))) {
                        stale += holder < latestHolder ? 1 : 0;
                        latestHolder = Math.max(latestHolder, holder);
                    }
                }
            }
        }
        return stale;
    }

    @Test
    void weightLoadsAreSpacedAndOrderedByDemandWithoutABurstAfterAPause() {
        WeightLoadQueue queue = WeightLoadQueue.of(Duration.ofSeconds(2), 3, clock);
        for (int i = 0; i < 4; i++) {
            queue.offer(new WeightLoad(InstanceId.of("s" + i), "large", 10));
        }
        queue.offer(new WeightLoad(InstanceId.of("s9"), "small", 6));
        clock.advance(Duration.ofMinutes(5));
        List<String> started = new ArrayList<>();
        for (int second = 0; second < 12; second++) {
            for (WeightLoad load : queue.poll()) {
                started.add(second + " " + load.weights());
            }
            clock.advance(Duration.ofSeconds(1));
        }
        assertThat(started, is(List.of("0 large", "2 small", "4 large")));
        queue.remove(InstanceId.of("s0"), "large");
        WeightLoad next = queue.poll().get(0);
        queue.requeue(next, Duration.ofSeconds(30));
        clock.advance(Duration.ofSeconds(29));
        assertThat(queue.poll(), is(List.of()));
        clock.advance(Duration.ofSeconds(1));
        assertThat(queue.poll(), is(List.of(next)));
    }

    private static Lease wonLease(LeaseEffect effect) {
        return ((LeaseEffect.Won) effect).lease();
    }

    private static LeaseRecord acquire(LeaseHolder holder) {
        return new LeaseRecord.Acquire(NAME, holder, TERM, 1);
    }

    private static ErrorKind refusalKind(OrderGate gate, long token) {
        return gate.admit(order(token)).map(CallFailure::kind).orElseThrow();
    }

    private static Order order(long token) {
        return new Order.LoadVersion(token, "v2");
    }
}

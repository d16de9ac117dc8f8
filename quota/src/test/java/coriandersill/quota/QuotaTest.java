package coriandersill.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against exceeding the cap of a workspace over all entries. This happens if a home grants capacity that another
 * entry still holds: after an answer is lost, an entry stops or loses contact, or another instance becomes the home.
 */
final class QuotaTest {
    private static final WorkspaceName WORKSPACE = WorkspaceName.of("w");
    private static final Duration TERM = Duration.ofSeconds(2);
    private static final Duration TICK = Duration.ofMillis(250);
    private static final QuotaAmount CAP = new QuotaAmount(60, 6_000);
    private static final double FLOOR_FRACTION = 0.1;
    private static final int MAX_CALL_TICKS = 12;
    private static final int TOKENS_PER_CALL = 50;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final List<Entry> entries = new ArrayList<>();
    private SplittableRandom random = new SplittableRandom(1);
    private QuotaLedger home;
    private long nextFencingToken = 1;
    private long chargedTokens;

    private void startHome(CapSplit split, Duration gracePeriod) {
        home = QuotaLedger.open(clock, split, nextFencingToken++, TERM, gracePeriod);
        home.setPools(Map.of(WORKSPACE, CAP.minus(CAP.scaledBy(FLOOR_FRACTION))));
        home.setLeaseExpiry(Long.MAX_VALUE / 4);
    }

    private Entry startEntry() {
        Entry entry = new Entry(GrantedQuota.create(clock, InstanceId.of("e" + random.nextInt(1_000_000))));
        entries.add(entry);
        entry.quota.setRegionFloors(Map.of(WORKSPACE, CAP.scaledBy(FLOOR_FRACTION)));
        entries.forEach(each -> each.quota.setEntriesInRegion(entries.size()));
        return entry;
    }

    /** Advances by one tick: calls end, answers from the last tick arrive, calls start and new demands are sent. */
    private void tick(int callsWanted) {
        clock.advance(TICK);
        for (Entry entry : entries) {
            entry.endCalls();
            entry.receiveAnswers();
            for (int i = 0; i < callsWanted; i++) {
                entry.startCall();
            }
            entry.sendDemands();
        }
    }

    private int running() {
        return entries.stream().mapToInt(entry -> entry.callEnds.size()).sum();
    }

    @ParameterizedTest
    @CsvSource({"1, 0.0", "2, 0.2", "3, 0.5"})
    void runningCallsStayWithinTheCapWhileEntriesStartStopAndLoseContactWithTheHome(long seed, double lossProbability) {
        random = new SplittableRandom(seed);
        startHome(CapSplit.byDemand(), TICK.multipliedBy(MAX_CALL_TICKS));
        for (int i = 0; i < 4; i++) {
            startEntry();
        }
        int peakRunning = 0;
        for (int step = 0; step < 2_000; step++) {
            if (random.nextInt(100) == 0 && entries.size() > 2) {
                entries.remove(random.nextInt(entries.size()));
            }
            if (random.nextInt(100) == 0 && entries.size() < 8) {
                startEntry();
            }
            if (random.nextInt(300) == 0) {
                startHome(CapSplit.byDemand(), TICK.multipliedBy(MAX_CALL_TICKS));
            }
            for (Entry entry : entries) {
                entry.partitionedTicks = random.nextInt(40) == 0 ? 30 : Math.max(0, entry.partitionedTicks - 1);
                entry.lossProbability = lossProbability;
            }
            tick(random.nextInt(6));
            peakRunning = Math.max(peakRunning, running());
            assertThat("seed " + seed + ", step " + step, running(), lessThanOrEqualTo(CAP.concurrency()));
        }
        double seconds = 2_000 * TICK.toMillis() / 1e3;
        // The buckets allow a burst of one second in addition.
        double maxTokens = CAP.tokensPerSecond() * (seconds + 1) + maxTokenOverdraft();
        assertThat("seed " + seed, (double) chargedTokens, lessThanOrEqualTo(maxTokens));
        assertThat("more than half of the cap is used, seed " + seed, peakRunning, greaterThan(CAP.concurrency() / 2));
    }

    /** Each of up to 8 entries may admit one call beyond its tokens, since a call is charged in full. */
    private double maxTokenOverdraft() {
        return 8.0 * TOKENS_PER_CALL;
    }

    @ParameterizedTest
    @CsvSource({"byDemand, 50, 60", "equal, 0, 20"})
    void anIdleShareIsUsableByOthersOnlyWhenSplitByDemand(String split, int minRunning, int maxRunning) {
        startHome(split.equals("equal") ? CapSplit.equal() : CapSplit.byDemand(), Duration.ZERO);
        for (int i = 0; i < 4; i++) {
            startEntry().busy = i == 0;
        }
        for (int step = 0; step < 60; step++) {
            entries.forEach(Entry::runShortCall);
            tick(12);
        }
        assertThat(running(), greaterThanOrEqualTo(minRunning));
        assertThat(running(), lessThanOrEqualTo(maxRunning));
    }

    @Test
    void theShareOfAStoppedEntryIsGrantedToOthersAfterItsTerm() {
        startHome(CapSplit.byDemand(), Duration.ZERO);
        startEntry();
        startEntry();
        for (int step = 0; step < 60; step++) {
            tick(9);
        }
        assertThat(running(), greaterThan(50));
        entries.remove(0);
        entries.get(0).quota.setEntriesInRegion(1);
        for (int step = 0; step < 24; step++) {
            tick(9);
        }
        assertThat(running(), greaterThan(50));
    }

    @Test
    void aPartitionedRegionAdmitsWithinItsFloorOnceItsGrantExpires() {
        startHome(CapSplit.byDemand(), Duration.ZERO);
        Entry entry = startEntry();
        for (int step = 0; step < 40; step++) {
            tick(9);
        }
        assertThat(running(), greaterThan(40));
        entry.partitionedTicks = 1_000;
        for (int step = 0; step < 24; step++) {
            tick(9);
        }
        assertThat(running(), is(CAP.scaledBy(FLOOR_FRACTION).concurrency()));
    }

    @Test
    void grantsOfAPreviousHomeThatResumesAreRejected() {
        startHome(CapSplit.byDemand(), Duration.ZERO);
        QuotaLedger old = home;
        Entry entry = startEntry();
        for (int step = 0; step < 40; step++) {
            tick(9);
        }
        startHome(CapSplit.byDemand(), Duration.ZERO);
        QuotaDemand demand = new QuotaDemand(InstanceId.of("x"), WORKSPACE, new QuotaAmount(50, 100), 0);
        assertThat("a new home makes no grants for one term", home.grant(demand).termNanos(), is(0L));
        tick(0);
        tick(0);
        assertThat(entry.quota.applyGrant(old.grant(demand), clock.nanos()), is(false));
        old.setLeaseExpiry(clock.nanos());
        assertThat("no grant after the lease expired", old.grant(demand).amount(), is(QuotaAmount.NONE));
    }

    @ParameterizedTest
    @CsvSource({"60, 1", "60, 7", "5, 8", "1, 3", "0, 2"})
    void theLocalQuotasOfAllEntriesAddUpToTheCap(int calls, int count) {
        int admitted = 0;
        for (int position = 0; position < count; position++) {
            LocalQuota quota = LocalQuota.create(clock);
            quota.setCaps(Map.of(WORKSPACE, new QuotaAmount(calls, 1_000)));
            quota.setLiveEntries(count, position);
            while (quota.tryAcquire(WORKSPACE, 0).isEmpty()) {
                admitted++;
            }
            assertThat(quota.tryAcquire(WorkspaceName.of("uncapped"), 9).isEmpty(), is(true));
        }
        assertThat(admitted, is(calls));
    }

    @Test
    void actuallyGeneratedTokensAreChargedAndTheRateIsKept() {
        LocalQuota quota = LocalQuota.create(clock);
        quota.setCaps(Map.of(WORKSPACE, new QuotaAmount(1_000, 100)));
        long generated = 0;
        for (int step = 0; step < 4_000; step++) {
            clock.advance(TICK);
            if (quota.tryAcquire(WORKSPACE, 10).isEmpty()) {
                quota.settle(WORKSPACE, 10, 90);
                generated += 90;
            }
        }
        assertThat(generated, greaterThan(98_000L));
        assertThat(generated, lessThan(102_000L));
    }

    @Test
    void onlyTheWorkspacesOfALostInstanceGetANewHome() {
        List<InstanceId> all = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            all.add(InstanceId.of("e" + i));
        }
        InstanceId lost = all.get(3);
        List<InstanceId> remaining =
                all.stream().filter(each -> !each.equals(lost)).toList();
        int workspacesOfLost = 0;
        for (int i = 0; i < 1_000; i++) {
            WorkspaceName workspace = WorkspaceName.of("w" + i);
            InstanceId before = HomeSelector.select(workspace, all).orElseThrow();
            workspacesOfLost += before.equals(lost) ? 1 : 0;
            assertThat(
                    before.equals(lost)
                            || HomeSelector.select(workspace, remaining)
                                    .orElseThrow()
                                    .equals(before),
                    is(true));
        }
        assertThat(workspacesOfLost, greaterThan(60));
        assertThat(workspacesOfLost, lessThan(140));
    }

    /** One entry with its running calls and the answers in transit to it. */
    private final class Entry {
        private final GrantedQuota quota;
        private final List<Long> callEnds = new ArrayList<>();
        private final List<QuotaGrant> answers = new ArrayList<>();
        private long demandsSentNanos;
        private int partitionedTicks;
        private double lossProbability;
        private boolean busy = true;

        private Entry(GrantedQuota quota) {
            this.quota = quota;
        }

        private void startCall() {
            if (!busy) {
                return;
            }
            if (quota.tryAcquire(WORKSPACE, TOKENS_PER_CALL).isPresent()) {
                return;
            }
            chargedTokens += TOKENS_PER_CALL;
            callEnds.add(clock.nanos()
                    + TICK.multipliedBy(1 + random.nextInt(MAX_CALL_TICKS)).toNanos());
        }

        private void endCalls() {
            for (Iterator<Long> ends = callEnds.iterator(); ends.hasNext(); ) {
                if (ends.next() <= clock.nanos()) {
                    ends.remove();
                    quota.settle(WORKSPACE, TOKENS_PER_CALL, TOKENS_PER_CALL);
                }
            }
        }

        /** Runs one call that ends immediately, so that an idle entry has a small demand. */
        private void runShortCall() {
            if (!busy && quota.tryAcquire(WORKSPACE, 1).isEmpty()) {
                quota.settle(WORKSPACE, 1, 1);
            }
        }

        private void sendDemands() {
            List<QuotaDemand> demands = quota.collectDemands();
            answers.clear();
            demandsSentNanos = clock.nanos();
            if (partitionedTicks == 0) {
                demands.forEach(demand -> answers.add(home.grant(demand)));
            }
        }

        private void receiveAnswers() {
            if (random.nextDouble() >= lossProbability) {
                answers.forEach(answer -> quota.applyGrant(answer, demandsSentNanos));
            }
        }
    }
}

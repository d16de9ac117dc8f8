package coriandersill.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** HAZARDS R1 (many entries at once), R2 (cold again), R3 (sidecar restart) and R4 (overlap of two sidecars). */
final class ColdStartLimitTest {
    private static final Duration WARM_GAP = Duration.ofMillis(15);
    private static final Duration COLD_GAP = Duration.ofMillis(40);
    private static final int COLD = 4;
    private static final int MAX = 32;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final List<AdmissionRequest> running = new ArrayList<>();
    private int next;

    private PredictiveAdmission gate() {
        return PredictiveAdmission.builder(clock)
                .concurrency(COLD, MAX)
                .memoryTokens(1_000_000)
                .queue(10_000, Duration.ofHours(1))
                .build();
    }

    private void offer(PredictiveAdmission gate, int calls) {
        for (int i = 0; i < calls; i++) {
            AdmissionRequest request = Requests.generation(next++, "w" + next % 50, 10, 1_000);
            if (gate.offer(request) instanceof AdmissionDecision.Admitted) {
                running.add(request);
            }
        }
    }

    /** Lets every running call generate {@code tokens} tokens, one each {@code gap}, and takes in who is admitted. */
    private void generate(PredictiveAdmission gate, int tokens, Duration gap) {
        for (int i = 0; i < tokens; i++) {
            clock.advance(gap);
            running.forEach(request -> gate.generated(request.id(), 1));
            take(gate, gate.expire());
        }
    }

    private void take(PredictiveAdmission gate, List<AdmissionDecision> decisions) {
        for (AdmissionDecision decision : decisions) {
            if (decision instanceof AdmissionDecision.Admitted) {
                running.add(Requests.generation((int) decision.id().low(), "w", 10, 1_000));
            }
        }
        assertThat(gate.load().running(), is(running.size()));
    }

    @Test
    void callsOfManyEntriesAtOnceStayWithinTheColdLimit() {
        PredictiveAdmission gate = gate();
        offer(gate, 500);
        assertThat(gate.load().running(), is(COLD));
        assertThat(gate.load().waiting(), is(496));
    }

    @Test
    void theLimitDoesNotGrowWhileTheEngineIsAsSlowAsACold() {
        PredictiveAdmission gate = gate();
        offer(gate, 500);
        generate(gate, 200, COLD_GAP);
        assertThat(gate.load().limit(), is(COLD));
    }

    @Test
    void theLimitGrowsToTheWarmOneOnProof() {
        PredictiveAdmission gate = gate();
        offer(gate, 500);
        generate(gate, 200, WARM_GAP);
        assertThat(gate.load().limit(), is(MAX));
        assertThat(gate.load().cold(), is(false));
    }

    @Test
    void aLimitThatIsNotUsedIsNotProven() {
        PredictiveAdmission gate = gate();
        offer(gate, 1);
        generate(gate, 900, WARM_GAP);
        assertThat(gate.load().limit(), is(COLD));
    }

    @Test
    void anUpstreamThatTurnsColdIsSeenByItsOwnLatencyWithinFourTokensOfEachCall() {
        PredictiveAdmission gate = gate();
        offer(gate, 500);
        generate(gate, 200, WARM_GAP);
        generate(gate, 5, COLD_GAP);
        assertThat(gate.load().limit(), is(COLD));
        int before = running.size();
        generate(gate, 50, COLD_GAP);
        assertThat("nothing is admitted while more run than the limit allows", running.size(), is(before));
        while (running.size() > 1) {
            take(gate, gate.finished(running.remove(0).id(), Completion.FINISHED));
            assertThat(gate.load().running() <= COLD || running.size() < before, is(true));
        }
    }

    @Test
    void anUpstreamThatStopsAnsweringIsColdBeforeItAnswers() {
        PredictiveAdmission gate = gate();
        offer(gate, 500);
        generate(gate, 200, WARM_GAP);
        clock.advance(Duration.ofSeconds(4));
        gate.expire();
        assertThat(gate.load().limit(), is(COLD));
    }

    @Test
    void aRestartedSidecarStartsCold() {
        PredictiveAdmission gate = gate();
        offer(gate, 500);
        generate(gate, 200, WARM_GAP);
        PredictiveAdmission restarted = gate();
        assertThat(restarted.load().limit(), is(COLD));
        gate.upstreamRestarted();
        assertThat(gate.load().limit(), is(COLD));
    }

    @Test
    void twoSidecarsInAnOverlapStayWithinOneLimitTogether() {
        PredictiveAdmission older = gate();
        PredictiveAdmission newer = gate();
        offer(older, 6);
        List<AdmissionDecision> refused = older.startDraining();
        assertThat(refused.size(), is(2));
        assertThat(older.offer(Requests.generation(900, "w", 10, 10)) instanceof AdmissionDecision.Refused, is(true));
        Deque<AdmissionRequest> left = new ArrayDeque<>(running);
        newer.reserveForPredecessor(older.load().running());
        offer(newer, 20);
        assertThat(newer.load().running(), is(0));
        while (!left.isEmpty()) {
            older.finished(left.poll().id(), Completion.FINISHED);
            newer.reserveForPredecessor(older.load().running());
            newer.expire();
            assertThat(older.load().running() + newer.load().running(), is(COLD));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void noSequenceOfEventsAdmitsMoreThanTheLimit(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PredictiveAdmission gate = gate();
        for (int step = 0; step < 4_000; step++) {
            int before = gate.load().running();
            int limit = gate.load().limit();
            switch (random.nextInt(6)) {
                case 0 -> offer(gate, random.nextInt(8));
                case 1 -> gate.upstreamRestarted();
                case 2 -> {
                    if (!running.isEmpty()) {
                        int index = random.nextInt(running.size());
                        Completion end = random.nextBoolean() ? Completion.FINISHED : Completion.FAILED;
                        take(gate, gate.finished(running.remove(index).id(), end));
                    }
                }
                default -> generate(gate, 1 + random.nextInt(9), random.nextInt(4) == 0 ? COLD_GAP : WARM_GAP);
            }
            int most = Math.max(before, Math.max(limit, gate.load().limit()));
            assertThat("seed " + seed + ", step " + step, gate.load().running(), lessThanOrEqualTo(most));
            assertThat("seed " + seed, gate.load().running(), lessThanOrEqualTo(MAX));
        }
    }
}

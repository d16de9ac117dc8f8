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

/**
 * Guards against overloading a cold upstream. This happens if many entries send to it at the same time, if it becomes
 * cold again while its limit is high, if a restarted sidecar assumes that it is warm, or if two sidecars of one
 * upstream each use the whole limit during a handover.
 */
final class ColdStartLimitTest {
    private static final Duration WARM_TOKEN_INTERVAL = Duration.ofMillis(15);
    private static final Duration COLD_TOKEN_INTERVAL = Duration.ofMillis(40);
    private static final int COLD_LIMIT = 4;
    private static final int MAX_LIMIT = 32;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final List<AdmissionRequest> running = new ArrayList<>();
    private int nextId;

    private PredictiveAdmission newAdmission() {
        return PredictiveAdmission.builder(clock)
                .concurrency(COLD_LIMIT, MAX_LIMIT)
                .memoryTokens(1_000_000)
                .queue(10_000, Duration.ofHours(1))
                .build();
    }

    private void offer(PredictiveAdmission admission, int calls) {
        for (int i = 0; i < calls; i++) {
            AdmissionRequest request = Requests.generation(nextId++, "w" + nextId % 50, 10, 1_000);
            if (admission.offer(request) instanceof AdmissionDecision.Admitted) {
                running.add(request);
            }
        }
    }

    /**
     * Lets every running call generate {@code tokens} tokens at intervals of {@code interval}, and applies admissions.
     */
    private void generate(PredictiveAdmission admission, int tokens, Duration interval) {
        for (int i = 0; i < tokens; i++) {
            clock.advance(interval);
            running.forEach(request -> admission.generated(request.id(), 1));
            applyDecisions(admission, admission.processQueue());
        }
    }

    private void applyDecisions(PredictiveAdmission admission, List<AdmissionDecision> decisions) {
        for (AdmissionDecision decision : decisions) {
            if (decision instanceof AdmissionDecision.Admitted) {
                running.add(Requests.generation((int) decision.id().low(), "w", 10, 1_000));
            }
        }
        assertThat(admission.load().running(), is(running.size()));
    }

    @Test
    void concurrentCallsOfManyEntriesStayWithinTheColdLimit() {
        PredictiveAdmission admission = newAdmission();
        offer(admission, 500);
        assertThat(admission.load().running(), is(COLD_LIMIT));
        assertThat(admission.load().waiting(), is(496));
    }

    @Test
    void theLimitDoesNotGrowWhileTheEngineIsAsSlowAsAColdOne() {
        PredictiveAdmission admission = newAdmission();
        offer(admission, 500);
        generate(admission, 200, COLD_TOKEN_INTERVAL);
        assertThat(admission.load().limit(), is(COLD_LIMIT));
    }

    @Test
    void theLimitGrowsToTheMaximumWithWarmSamples() {
        PredictiveAdmission admission = newAdmission();
        offer(admission, 500);
        generate(admission, 200, WARM_TOKEN_INTERVAL);
        assertThat(admission.load().limit(), is(MAX_LIMIT));
        assertThat(admission.load().cold(), is(false));
    }

    @Test
    void anUnusedLimitDoesNotGrow() {
        PredictiveAdmission admission = newAdmission();
        offer(admission, 1);
        generate(admission, 900, WARM_TOKEN_INTERVAL);
        assertThat(admission.load().limit(), is(COLD_LIMIT));
    }

    @Test
    void anUpstreamThatBecomesColdIsDetectedByItsLatencyWithinFiveTokensOfEachCall() {
        PredictiveAdmission admission = newAdmission();
        offer(admission, 500);
        generate(admission, 200, WARM_TOKEN_INTERVAL);
        generate(admission, 5, COLD_TOKEN_INTERVAL);
        assertThat(admission.load().limit(), is(COLD_LIMIT));
        int before = running.size();
        generate(admission, 50, COLD_TOKEN_INTERVAL);
        assertThat("nothing is admitted while more run than the limit allows", running.size(), is(before));
        while (running.size() > 1) {
            applyDecisions(admission, admission.finished(running.remove(0).id(), Completion.FINISHED));
            assertThat(admission.load().running() <= COLD_LIMIT || running.size() < before, is(true));
        }
    }

    @Test
    void anUpstreamThatStopsRespondingIsColdBeforeItRespondsAgain() {
        PredictiveAdmission admission = newAdmission();
        offer(admission, 500);
        generate(admission, 200, WARM_TOKEN_INTERVAL);
        clock.advance(Duration.ofSeconds(4));
        admission.processQueue();
        assertThat(admission.load().limit(), is(COLD_LIMIT));
    }

    @Test
    void aRestartedSidecarOrUpstreamStartsAtTheColdLimit() {
        PredictiveAdmission admission = newAdmission();
        offer(admission, 500);
        generate(admission, 200, WARM_TOKEN_INTERVAL);
        PredictiveAdmission restarted = newAdmission();
        assertThat(restarted.load().limit(), is(COLD_LIMIT));
        admission.upstreamRestarted();
        assertThat(admission.load().limit(), is(COLD_LIMIT));
    }

    @Test
    void twoSidecarsDuringAHandoverTogetherStayWithinOneLimit() {
        PredictiveAdmission older = newAdmission();
        PredictiveAdmission newer = newAdmission();
        offer(older, 6);
        List<AdmissionDecision> refused = older.startDraining();
        assertThat(refused.size(), is(2));
        assertThat(older.offer(Requests.generation(900, "w", 10, 10)) instanceof AdmissionDecision.Refused, is(true));
        Deque<AdmissionRequest> remaining = new ArrayDeque<>(running);
        newer.reserveForPredecessor(older.load().running());
        offer(newer, 20);
        assertThat(newer.load().running(), is(0));
        while (!remaining.isEmpty()) {
            older.finished(remaining.poll().id(), Completion.FINISHED);
            newer.reserveForPredecessor(older.load().running());
            newer.processQueue();
            assertThat(older.load().running() + newer.load().running(), is(COLD_LIMIT));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void noSequenceOfEventsAdmitsMoreThanTheLimit(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PredictiveAdmission admission = newAdmission();
        for (int step = 0; step < 4_000; step++) {
            int before = admission.load().running();
            int limit = admission.load().limit();
            switch (random.nextInt(6)) {
                case 0 -> offer(admission, random.nextInt(8));
                case 1 -> admission.upstreamRestarted();
                case 2 -> {
                    if (!running.isEmpty()) {
                        int index = random.nextInt(running.size());
                        Completion end = random.nextBoolean() ? Completion.FINISHED : Completion.FAILED;
                        applyDecisions(
                                admission,
                                admission.finished(running.remove(index).id(), end));
                    }
                }
                default -> generate(
                        admission,
                        1 + random.nextInt(9),
                        random.nextInt(4) == 0 ? COLD_TOKEN_INTERVAL : WARM_TOKEN_INTERVAL);
            }
            int allowed = Math.max(before, Math.max(limit, admission.load().limit()));
            assertThat("seed " + seed + ", step " + step, admission.load().running(), lessThanOrEqualTo(allowed));
            assertThat("seed " + seed, admission.load().running(), lessThanOrEqualTo(MAX_LIMIT));
        }
    }
}

package coriandersill.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManualClock;
import coriandersill.core.Ran;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against running out of engine memory during decoding, against one workspace taking all capacity, and against
 * running a call that was reported as refused.
 */
final class PredictiveAdmissionTest {
    private static final int MEMORY_TOKENS = 20_000;
    private static final long SEED = 11;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    private PredictiveAdmissionBuilder builder() {
        return PredictiveAdmission.builder(clock).concurrency(64, 64).memoryTokens(MEMORY_TOKENS);
    }

    private static CallFailure refusal(AdmissionDecision decision) {
        assertThat(decision, instanceOf(AdmissionDecision.Refused.class));
        return ((AdmissionDecision.Refused) decision).failure();
    }

    /**
     * Serves a backlog on a simulated engine that generates a token for each running call in every step. Returns the
     * number of steps in which the running set exceeded the memory and the number of finished calls, both counted in
     * the second half of the steps.
     */
    private int[] serve(LengthEstimator estimator, int steps) {
        PredictiveAdmission admission = builder()
                .estimator(estimator)
                .ceiling(ConcurrencyCeiling.fixed(64))
                .maxPrefillTokens(1_000_000)
                .queue(1_000, Duration.ofHours(1))
                .build();
        SplittableRandom random = new SplittableRandom(SEED);
        // For each running call, the tokens generated so far and its length.
        Map<Integer, int[]> running = new HashMap<>();
        int next = 0;
        int overflowSteps = 0;
        int finished = 0;
        for (int step = 0; step < steps; step++) {
            clock.advance(Duration.ofMillis(20));
            List<AdmissionDecision> decisions = new ArrayList<>(admission.processQueue());
            while (admission.load().waiting() < 10) {
                decisions.add(admission.offer(Requests.generation(next++, "w" + next % 5, 100, 4_000)));
            }
            for (int id : List.copyOf(running.keySet())) {
                int[] call = running.get(id);
                admission.generated(Requests.id(id), 1);
                if (++call[0] >= call[1]) {
                    running.remove(id);
                    finished += step > steps / 2 ? 1 : 0;
                    decisions.addAll(admission.finished(Requests.id(id), Completion.FINISHED));
                }
            }
            for (AdmissionDecision decision : decisions) {
                if (decision instanceof AdmissionDecision.Admitted) {
                    int length = (int) Math.min(4_000, 1 + 200 * Math.exp(random.nextGaussian()));
                    running.put((int) decision.id().low(), new int[] {0, length});
                }
            }
            int held = running.values().stream().mapToInt(call -> 100 + call[0]).sum();
            overflowSteps += held > MEMORY_TOKENS && step > steps / 2 ? 1 : 0;
        }
        return new int[] {overflowSteps, finished};
    }

    @Test
    void predictedReservationsRarelyOverflowAndServeFarMoreThanWorstCaseReservations() {
        int[] predicted = serve(QuantileLengthEstimator.create(), 12_000);
        int[] worstCase = serve(MaxTokensEstimator.create(), 12_000);
        int[] promptOnly = serve(FixedLengthEstimator.of(1), 12_000);
        assertThat("steps, out of 6,000, that exceed the memory, seed " + SEED, predicted[0], lessThan(60));
        assertThat("reserving only the prompt overflows", promptOnly[0], greaterThan(600));
        assertThat(predicted[1], greaterThan(3 * worstCase[1]));
    }

    @Test
    void aLargeSetNeedsASmallerReservePerGenerationThanASmallOne() {
        LengthEstimator estimator = QuantileLengthEstimator.create();
        MemoryProjection projection = new MemoryProjection();
        MemoryProjection.Contribution one =
                MemoryProjection.contribution(100, estimator.remaining(Requests.key("w"), 0), 4_000);
        projection.add(one);
        long alone = projection.peak(3);
        for (int i = 1; i < 100; i++) {
            projection.add(one);
        }
        assertThat(projection.peak(3), lessThan(100 * alone * 6 / 10));
        for (int i = 0; i < 100; i++) {
            projection.remove(one);
        }
        assertThat(projection.peak(3), is(0L));
    }

    @Test
    void theReservationFollowsTheGeneratedTokens() {
        PredictiveAdmission admission = builder().build();
        admission.offer(Requests.generation(1, "w", 100, 4_000));
        long before = admission.load().reservedTokens();
        admission.generated(Requests.id(1), 2_000);
        assertThat(admission.load().reservedTokens(), greaterThan(before + 1_000));
        admission.generated(Requests.id(1), 2_000);
        assertThat("no more than the caller allows", admission.load().reservedTokens(), is(4_100L));
        admission.finished(Requests.id(1), Completion.FINISHED);
        assertThat(admission.load().reservedTokens(), is(0L));
    }

    @Test
    void aPreemptionLowersTheUsableMemoryWhichRecoversOverTime() {
        UsableMemory memory = new UsableMemory(1_000, 0);
        memory.recordPreemption(0);
        memory.recordPreemption(1);
        assertThat("preemptions within a second count once", memory.tokens(1), is(960L));
        for (long second = 1; second < 100; second++) {
            memory.recordPreemption(Duration.ofSeconds(second).toNanos());
        }
        assertThat(memory.tokens(Duration.ofSeconds(100).toNanos()), closeToLong(500));
        assertThat(memory.tokens(Duration.ofSeconds(700).toNanos()), is(1_000L));
    }

    private static Matcher<Long> closeToLong(long value) {
        return both(greaterThan(value - 5)).and(lessThan(value + 5));
    }

    @ParameterizedTest
    @CsvSource({"80, 0.2, true", "80, 0.01, false", "60, 1, false"})
    void theCeilingIsLoweredOnlyIfTooManyTokensAreLate(int lateMillis, double lateFraction, boolean lowered) {
        LatencyBasedCeiling ceiling = LatencyBasedCeiling.of(Duration.ofMillis(69), 0.05, 4, 50);
        for (int i = 0; i < 2_000; i++) {
            boolean late = i % 100 < lateFraction * 100;
            long interTokenNanos = Duration.ofMillis(late ? lateMillis : 30).toNanos();
            ceiling.recordInterTokenLatency(Duration.ofMillis(10L * i).toNanos(), interTokenNanos, 50);
        }
        assertThat(ceiling.ceiling() < 50, is(lowered));
        for (int i = 0; i < 40_000; i++) {
            ceiling.recordInterTokenLatency(Duration.ofMillis(20_000 + 10L * i).toNanos(), 1, ceiling.ceiling());
        }
        assertThat("the ceiling rises again", ceiling.ceiling(), is(50));
    }

    @Test
    void aFloodingWorkspaceWaitsWhileAnotherIsServedNext() {
        PredictiveAdmission admission =
                builder().memoryTokens(0).concurrency(20, 20).build();
        for (int i = 0; i < 200; i++) {
            admission.offer(Requests.plain(i, "flood"));
        }
        AdmissionDecision other = admission.offer(Requests.plain(1_000, "other"));
        assertThat(other, instanceOf(AdmissionDecision.Waiting.class));
        List<AdmissionDecision> freed = admission.finished(Requests.id(0), Completion.FINISHED);
        assertThat(freed, contains(new AdmissionDecision.Admitted(Requests.id(1_000))));
        for (int i = 1; i < 4; i++) {
            admission.finished(Requests.id(i), Completion.FINISHED);
        }
        assertThat("headroom is kept", admission.load().running(), is(18));
        assertThat(admission.offer(Requests.plain(1_001, "other")), instanceOf(AdmissionDecision.Admitted.class));
    }

    @Test
    void aFullQueueRefusesTheLargestBacklogAndNotTheNewWorkspace() {
        PredictiveAdmission admission =
                builder().concurrency(1, 1).queue(10, Duration.ofSeconds(5)).build();
        for (int i = 0; i <= 10; i++) {
            admission.offer(Requests.generation(i, "flood", 10, 100));
        }
        assertThat(
                admission.offer(Requests.generation(50, "other", 10, 100)),
                instanceOf(AdmissionDecision.Waiting.class));
        List<AdmissionDecision> decisions = admission.processQueue();
        assertThat(decisions.get(0).id(), is(Requests.id(10)));
        CallFailure failure = refusal(decisions.get(0));
        assertThat(failure.kind(), is(ErrorKind.OVERLOADED));
        assertThat(failure.ran(), is(Ran.NO));
        assertThat(failure.retryAfter().isZero(), is(false));
        assertThat(
                refusal(admission.offer(Requests.generation(51, "flood", 10, 100)))
                        .kind(),
                is(ErrorKind.OVERLOADED));
    }

    @Test
    void workspacesThatAlwaysWaitAreServedByWeightAndActualTokens() {
        PredictiveAdmission admission = builder()
                .concurrency(4, 4)
                .headroomFraction(0)
                .queue(10_000, Duration.ofHours(1))
                .build();
        int next = 0;
        Map<String, Integer> served = new HashMap<>();
        List<AdmissionRequest> running = new ArrayList<>();
        Map<Integer, AdmissionRequest> offered = new HashMap<>();
        for (int round = 0; round < 3_000; round++) {
            for (String workspace : List.of("long", "short")) {
                AdmissionRequest request = Requests.generation(next, workspace, 10, 4_000);
                offered.put(next++, request);
                if (admission.offer(request) instanceof AdmissionDecision.Admitted) {
                    running.add(request);
                }
            }
            AdmissionRequest first = running.remove(0);
            int tokens = first.workspace().value().equals("long") ? 300 : 100;
            admission.generated(first.id(), tokens);
            served.merge(first.workspace().value(), tokens, Integer::sum);
            admission
                    .finished(first.id(), Completion.FINISHED)
                    .forEach(each -> running.add(offered.get((int) each.id().low())));
        }
        // Memory is charged as well as tokens, and long generations hold memory longer per token.
        double ratio = (double) served.get("long") / served.get("short");
        assertThat(ratio, closeTo(0.9, 0.15));
    }

    @ParameterizedTest
    @CsvSource({"500, DEADLINE_EXCEEDED", "5000, OVERLOADED"})
    void anExpiredWaitIsReportedAsNotRun(int deadlineMillis, ErrorKind kind) {
        PredictiveAdmission admission = builder().concurrency(1, 1).build();
        admission.offer(Requests.generation(1, "w", 10, 100));
        long deadline = Duration.ofMillis(deadlineMillis).toNanos();
        admission.offer(Requests.request(2, "w", 10, 100, 0, deadline));
        clock.advance(Duration.ofMillis(Math.min(deadlineMillis, 1_200) - 1));
        assertThat(admission.processQueue(), empty());
        clock.advance(Duration.ofMillis(1));
        CallFailure failure = refusal(admission.processQueue().get(0));
        assertThat(failure.kind(), is(kind));
        assertThat(failure.ran(), is(Ran.NO));
        assertThat("it never runs afterwards", admission.finished(Requests.id(1), Completion.FINISHED), empty());
    }

    @Test
    void everyOfferIsDecidedOnceInAnyOrderOfEvents() {
        PredictiveAdmission admission =
                builder().concurrency(3, 3).queue(5, Duration.ofMillis(100)).build();
        SplittableRandom random = new SplittableRandom(SEED);
        Map<Integer, String> state = new HashMap<>();
        for (int step = 0; step < 5_000; step++) {
            List<AdmissionDecision> decisions = new ArrayList<>();
            int id = random.nextInt(40);
            if (random.nextBoolean() && !state.containsKey(id)) {
                state.put(id, "waiting");
                decisions.add(admission.offer(Requests.generation(id, "w" + id % 4, 10, 50)));
            } else if (state.containsKey(id)) {
                state.remove(id);
                decisions.addAll(admission.finished(Requests.id(id), Completion.CANCELLED));
            }
            clock.advance(Duration.ofMillis(random.nextInt(20)));
            decisions.addAll(admission.processQueue());
            for (AdmissionDecision decision : decisions) {
                int decided = (int) decision.id().low();
                assertThat("seed " + SEED + ", step " + step, state.get(decided), is("waiting"));
                if (decision instanceof AdmissionDecision.Admitted) {
                    state.put(decided, "running");
                } else if (decision instanceof AdmissionDecision.Refused) {
                    state.remove(decided);
                }
            }
            long running = state.values().stream().filter("running"::equals).count();
            assertThat("seed " + SEED, (long) admission.load().running(), is(running));
            assertThat(admission.load().waiting(), is(state.size() - (int) running));
        }
    }

    @Test
    void higherPriorityGoesFirstWithinAWorkspace() {
        PredictiveAdmission admission = builder().concurrency(1, 1).build();
        for (int i = 0; i < 4; i++) {
            admission.offer(Requests.request(i, "w", 10, 100, i, Requests.FAR_DEADLINE_NANOS));
        }
        assertThat(
                admission.finished(Requests.id(0), Completion.FINISHED),
                contains(new AdmissionDecision.Admitted(Requests.id(3))));
    }

    @Test
    void memoryUsedByTheEngineButNotCountedIsNotAssigned() {
        PredictiveAdmission admission = builder()
                .estimator(FixedLengthEstimator.of(1))
                .maxPrefillTokens(100_000)
                .build();
        admission.offer(Requests.generation(1, "w", 5_000, 10));
        for (int i = 0; i < 50; i++) {
            admission.recordEngineMetrics(new EngineMetrics(0, 15_000));
        }
        assertThat(
                admission.offer(Requests.generation(2, "w", 6_000, 10)), instanceOf(AdmissionDecision.Waiting.class));
        for (int i = 0; i < 50; i++) {
            admission.recordEngineMetrics(new EngineMetrics(0, 5_000));
        }
        assertThat(admission.processQueue(), contains(new AdmissionDecision.Admitted(Requests.id(2))));
    }

    @Test
    void onlyAGenerationWithoutOutputIsCancelledWhenMemoryRunsOut() {
        PredictiveAdmission admission = builder()
                .estimator(FixedLengthEstimator.of(1))
                .maxPrefillTokens(100_000)
                .build();
        admission.offer(Requests.generation(1, "w", 9_000, 20_000));
        admission.offer(Requests.generation(2, "w", 5_000, 20_000));
        assertThat(admission.selectVictim(), is(Optional.empty()));
        admission.generated(Requests.id(1), 7_000);
        assertThat(admission.selectVictim(), is(Optional.of(Requests.id(2))));
        assertThat(admission.requeue(Requests.id(1)), is(false));
        assertThat(admission.requeue(Requests.id(2)), is(true));
        assertThat(admission.load().running(), is(1));
        assertThat(admission.load().waiting(), is(1));
        assertThat(admission.selectVictim(), is(Optional.empty()));
    }

    @Test
    void aPromptLargerThanTheMemoryAndAConcurrentAttemptAreRefused() {
        PredictiveAdmission admission = builder().build();
        ErrorKind tooLarge = refusal(admission.offer(Requests.generation(1, "w", MEMORY_TOKENS, 10)))
                .kind();
        assertThat(tooLarge, is(ErrorKind.INVALID_REQUEST));
        admission.offer(Requests.generation(2, "w", 10, 10));
        assertThat(refusal(admission.offer(Requests.generation(2, "w", 10, 10))).kind(), is(ErrorKind.FENCED));
        assertThat(admission.load().running(), lessThanOrEqualTo(1));
    }
}

package coriandersill.examples.admission;

import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.admission.PredictiveAdmission;
import coriandersill.core.CallId;
import coriandersill.core.ManualClock;
import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Offers a burst of generations to an admission controller in virtual time and counts those admitted and refused.
 *
 * <p>An application would instead send each admitted generation to its engine, report tokens as they arrive and call
 * {@link PredictiveAdmission#processQueue} on a timer.
 */
public final class AdmitGenerations {
    private static final int BURST_SIZE = 40;
    private static final int COLD_CONCURRENCY = 4;
    private static final int MAX_CONCURRENCY = 32;
    private static final long MEMORY_TOKENS = 20_000;
    private static final int PROMPT_TOKENS = 100;
    private static final int MAX_GENERATED_TOKENS = 1_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

    /** Each running generation produces one token per step. */
    private static final Duration STEP = Duration.ofMillis(20);

    private static final int STEP_COUNT = 400;

    /** The interval, in steps, at which the oldest running generation finishes. */
    private static final int STEPS_PER_COMPLETION = 10;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PredictiveAdmission admission = PredictiveAdmission.builder(clock)
            .concurrency(COLD_CONCURRENCY, MAX_CONCURRENCY)
            .memoryTokens(MEMORY_TOKENS)
            .build();
    private final Random random = new Random(1);
    private final List<CallId> running = new ArrayList<>();
    private int maxRunning;
    private int admitted;
    private int refused;

    private AdmitGenerations() {}

    /**
     * The outcome of the burst.
     *
     * @param admitted the number of admitted generations
     * @param refused the number of refused generations, which did not run
     * @param maxRunning the highest number of generations that ran at the same time
     */
    public record Outcome(int admitted, int refused, int maxRunning) {}

    /** Prints the outcome. */
    public static void main(String[] args) {
        System.out.println(run());
    }

    /** Offers the burst and returns its outcome. */
    static Outcome run() {
        return new AdmitGenerations().offerAll();
    }

    private Outcome offerAll() {
        for (int i = 0; i < BURST_SIZE; i++) {
            apply(admission.offer(request(i)));
        }
        for (int step = 0; step < STEP_COUNT; step++) {
            clock.advance(STEP);
            running.forEach(id -> admission.generated(id, 1));
            if (step % STEPS_PER_COMPLETION == STEPS_PER_COMPLETION - 1 && !running.isEmpty()) {
                CallId done = running.remove(0);
                admission.finished(done, Completion.FINISHED).forEach(this::apply);
            }
            admission.processQueue().forEach(this::apply);
        }
        return new Outcome(admitted, refused, maxRunning);
    }

    private AdmissionRequest request(int number) {
        WorkspaceName workspace = WorkspaceName.of(number % 2 == 0 ? "north" : "south");
        return new AdmissionRequest(
                CallId.random(random),
                1,
                workspace,
                1.0,
                RouteName.of("chat"),
                VersionName.of("v1"),
                PROMPT_TOKENS,
                MAX_GENERATED_TOKENS,
                0,
                clock.nanos() + CALL_TIMEOUT.toNanos());
    }

    private void apply(AdmissionDecision decision) {
        if (decision instanceof AdmissionDecision.Admitted) {
            admitted++;
            running.add(decision.id());
            maxRunning = Math.max(maxRunning, running.size());
        } else if (decision instanceof AdmissionDecision.Refused) {
            refused++;
        }
    }
}

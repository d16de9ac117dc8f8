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
 * Offers a burst of generations to one gate in virtual time and counts what is admitted, waits and is refused.
 *
 * <p>A program of its own would carry each decision out, count tokens as they come and call {@code expire} on a timer.
 */
public final class AdmitGenerations {
    private static final int BURST_SIZE = 40;
    private static final int COLD_CONCURRENCY = 4;
    private static final Duration STEP = Duration.ofMillis(20);
    private static final int STEP_COUNT = 400;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PredictiveAdmission admission = PredictiveAdmission.builder(clock)
            .concurrency(COLD_CONCURRENCY, 32)
            .memoryTokens(20_000)
            .build();
    private final Random random = new Random(1);
    private final List<CallId> running = new ArrayList<>();
    private int maxRunning;
    private int admitted;
    private int refused;

    private AdmitGenerations() {}

    /**
     * What became of the burst.
     *
     * @param admitted generations that went to the engine
     * @param refused generations that were refused, not run
     * @param maxRunning the most that ran together
     */
    public record Outcome(int admitted, int refused, int maxRunning) {}

    /** Prints the outcome. */
    public static void main(String[] args) {
        System.out.println(run());
    }

    /** Returns what became of the burst. */
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
            if (step % 10 == 9 && !running.isEmpty()) {
                CallId done = running.remove(0);
                admission.finished(done, Completion.FINISHED).forEach(this::apply);
            }
            admission.expire().forEach(this::apply);
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
                100,
                1_000,
                0,
                clock.nanos() + Duration.ofSeconds(20).toNanos());
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

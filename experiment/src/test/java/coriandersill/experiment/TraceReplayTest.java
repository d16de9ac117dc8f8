package coriandersill.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Replays recorded workloads with injected faults and checks each result against its bound in traces/outcomes.csv. The
 * bounds fail if memory runs out during decoding, a cold engine receives more than it can hold, retries multiply after
 * a crash, or a call is reported as not run although an engine received it (cases G5, R1, R3, R6 and R9 in
 * docs/design/routing.md). The lower bounds for round-robin check that the workloads provoke these failures at all.
 */
final class TraceReplayTest {
    private static final long SEED = 5;
    private static final int ROUND_ROBIN_LIMIT = 40;
    private static final Deployment THREE_ENGINES = new Deployment(
            "three", List.of("shewa-a", "shewa-b", "shewa-c"), 3, 3, 500_000, 50_000, 3_000_000, EngineSpec.standard());

    private final Map<List<String>, RunResult> results = new HashMap<>();

    @TestFactory
    Stream<DynamicTest> replayedTracesStayWithinTheBoundsInTheFile() throws IOException {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(
                TraceReplayTest.class.getResourceAsStream("/traces/outcomes.csv"), StandardCharsets.UTF_8))) {
            List<String> rows = reader.lines().skip(1).toList();
            return rows.stream().map(row -> DynamicTest.dynamicTest(row, () -> check(row)));
        }
    }

    private void check(String row) {
        String[] cells = row.split(",", -1);
        RunResult result = results.computeIfAbsent(List.of(cells[0], cells[1], cells[2]), TraceReplayTest::replay);
        double found = measure(result, cells[3]);
        double bound = Double.parseDouble(cells[5]);
        assertThat(
                "seed " + SEED,
                found,
                cells[4].equals("at most") ? lessThanOrEqualTo(bound) : greaterThanOrEqualTo(bound));
    }

    /** Replays the trace, faults and policies given by these three names. */
    private static RunResult replay(List<String> names) {
        PolicySet policies = names.get(2).equals("standard")
                ? PolicySets.standard(EngineSpec.standard())
                : PolicySets.roundRobin(ROUND_ROBIN_LIMIT);
        RunSettings settings = RunSettings.of(
                        THREE_ENGINES, Trace.read(names.get(0)), SEED, Duration.ofSeconds(10), Duration.ofSeconds(45))
                .withFaults(faults(names.get(1)));
        return Simulation.run(settings, policies);
    }

    private static List<Fault> faults(String name) {
        return switch (name) {
            case "none" -> List.of();
            case "engine dies" -> List.of(new Fault(Duration.ofSeconds(20), Fault.Kind.ENGINE_CRASHES, 1));
            case "all cold" -> IntStream.range(0, 3)
                    .mapToObj(engine -> new Fault(Duration.ZERO, Fault.Kind.ENGINE_TURNS_COLD, engine))
                    .toList();
            default -> throw new IllegalArgumentException(
                    "faults: expected none, engine dies or all cold, found " + name);
        };
    }

    private static double measure(RunResult result, String name) {
        return switch (name) {
            case "preemptions" -> result.preemptions();
            case "goodput" -> result.goodputTokensPerSecond();
            case "false refusals" -> result.falseRefusals();
            case "cold violations" -> result.coldViolations();
            case "first token p95" -> result.firstToken().p95();
            case "between tokens p95" -> result.betweenTokens().p95();
            case "attempts per call" -> result.attempts()
                    / (double) (result.answered() + result.refused() + result.broken());
            default -> throw new IllegalArgumentException(
                    "measure: expected preemptions, goodput, false refusals, cold violations, first token p95, between"
                            + " tokens p95 or attempts per call, found " + name);
        };
    }
}

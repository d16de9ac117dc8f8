package coriandersill.explorer;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Runs a scenario under many schedules, each fixed by its seed.
 *
 * <pre>{@code
 * Explorer.of(scenario).explore(0, 10_000);
 * }</pre>
 *
 * <p>The seed of a schedule that fails is in the error; {@code explore(seed, 1)} repeats it.
 */
public final class Explorer {
    private final Scenario scenario;

    private Explorer(Scenario scenario) {
        this.scenario = Objects.requireNonNull(scenario, "scenario");
    }

    /** Returns an explorer of {@code scenario}. */
    public static Explorer of(Scenario scenario) {
        return new Explorer(scenario);
    }

    /**
     * Runs {@code schedules} schedules from {@code firstSeed} on; throws {@link AssertionError} at the first failure.
     */
    public void explore(long firstSeed, int schedules) {
        for (int i = 0; i < schedules; i++) {
            try {
                scenario.run(Simulation.of(firstSeed + i));
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + (firstSeed + i) + ": " + e.getMessage(), e);
            }
        }
    }

    /**
     * Returns the first seed from {@code firstSeed} on whose schedule fails a check, if one of {@code schedules} does.
     */
    public OptionalLong firstFailure(long firstSeed, int schedules) {
        for (int i = 0; i < schedules; i++) {
            try {
                scenario.run(Simulation.of(firstSeed + i));
            } catch (AssertionError e) {
                return OptionalLong.of(firstSeed + i);
            }
        }
        return OptionalLong.empty();
    }
}

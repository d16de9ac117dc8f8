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
 * <p>The message of the {@link AssertionError} contains the seed of the failed schedule; {@code explore(seed, 1)}
 * reproduces it.
 */
public final class Explorer {
    private final Scenario scenario;

    private Explorer(Scenario scenario) {
        this.scenario = Objects.requireNonNull(scenario, "scenario");
    }

    /** Returns an explorer that runs {@code scenario}. */
    public static Explorer of(Scenario scenario) {
        return new Explorer(scenario);
    }

    /**
     * Runs the scenario with {@code schedules} consecutive seeds, starting at {@code firstSeed}.
     *
     * @throws AssertionError at the first schedule that fails a check or throws
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
     * Returns the first of {@code schedules} consecutive seeds, starting at {@code firstSeed}, whose schedule fails a
     * check, or empty if all pass. Unlike {@link #explore}, it does not count an exception of a scenario as a failed
     * check, but throws it.
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

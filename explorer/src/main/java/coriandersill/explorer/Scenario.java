package coriandersill.explorer;

/** A test scenario that an {@link Explorer} runs under many schedules. */
@FunctionalInterface
public interface Scenario {

    /**
     * Sets up processes in {@code simulation}, runs it and checks the result.
     *
     * @throws AssertionError when a check fails
     */
    void run(Simulation simulation);
}

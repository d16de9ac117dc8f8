package coriandersill.explorer;

/** What an {@link Explorer} runs under each schedule. */
@FunctionalInterface
public interface Scenario {

    /**
     * Sets processes up in {@code simulation}, runs it and checks what came of it.
     *
     * @throws AssertionError when a check fails
     */
    void run(Simulation simulation);
}

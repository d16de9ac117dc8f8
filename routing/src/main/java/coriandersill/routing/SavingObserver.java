package coriandersill.routing;

/** Is told of choices among engines of which some are expected to hold a part of the prompt. Thread-safe. */
@FunctionalInterface
public interface SavingObserver {
    /**
     * Called for each choice, under the router's lock; must not block.
     *
     * @param expectedTokens the prompt tokens that the chosen engine is expected not to read
     * @param differs whether another engine would have been chosen without the saving
     */
    void chosen(double expectedTokens, boolean differs);
}

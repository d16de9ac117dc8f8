package coriandersill.routing;

import java.util.List;
import java.util.Objects;

/**
 * Replaces the choice of a policy by an engine at which the prompt tokens that are not read outweigh the additional
 * wait. Where nothing is saved the choice stands.
 *
 * @param savings what engines are expected to hold of the prompt
 * @param observer is told of each choice among engines of which some hold a part
 */
public record SavingPreference(PromptSavings savings, SavingObserver observer) {
    /** Lets every choice stand. */
    public static final SavingPreference NONE = new SavingPreference(PromptSavings.NONE, (tokens, differs) -> {});

    /** Rejects null. */
    public SavingPreference {
        Objects.requireNonNull(savings, "savings");
        Objects.requireNonNull(observer, "observer");
    }

    /**
     * An engine that may be chosen.
     *
     * @param savedTokens the prompt tokens that it is expected not to read
     * @param cost its cost with the saving; that of the engines that save nothing is as without it
     */
    record Option(Candidate candidate, double savedTokens, double cost) {}

    /** Returns whether no engine is known to hold a part of the prompt. */
    boolean isEmpty() {
        return savings.engines().isEmpty();
    }

    /**
     * Returns the engine to use.
     *
     * @param withoutSaving the choice without savings, one of {@code options}
     */
    Option choose(Option withoutSaving, List<Option> options) {
        Option best = withoutSaving;
        for (Option option : options) {
            if (option.savedTokens() > withoutSaving.savedTokens() && option.cost() < best.cost()) {
                best = option;
            }
        }
        if (options.stream().anyMatch(option -> option.savedTokens() > 0)) {
            observer.chosen(best.savedTokens(), !best.equals(withoutSaving));
        }
        return best;
    }
}

package coriandersill.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Finds what is wrong between documents; pure, so that every process finds the same. */
@FunctionalInterface
public interface ConfigurationValidator {

    /**
     * Returns every problem of a state that a change set would lead to.
     *
     * @param candidate the state with the change set applied; without its changed documents it was valid before
     * @param changed the documents that the change set edits
     */
    List<Problem> check(AcceptedState candidate, Set<DocumentName> changed);

    /** Returns a validator that collects the problems of several. */
    static ConfigurationValidator allOf(List<? extends ConfigurationValidator> validators) {
        List<ConfigurationValidator> all = List.copyOf(validators);
        return (candidate, changed) -> {
            List<Problem> problems = new ArrayList<>();
            all.forEach(validator -> problems.addAll(validator.check(candidate, changed)));
            return problems;
        };
    }
}

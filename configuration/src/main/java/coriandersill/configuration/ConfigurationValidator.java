package coriandersill.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Checks documents against each other; a pure function, so that every process finds the same problems. */
@FunctionalInterface
public interface ConfigurationValidator {

    /**
     * Returns all problems in the state that would result from a change set.
     *
     * @param candidate the state with the change set applied; the state before the change set was valid
     * @param changed the names of the documents edited by the change set
     */
    List<Problem> check(AcceptedState candidate, Set<DocumentName> changed);

    /** Returns a validator that concatenates the problems found by several validators. */
    static ConfigurationValidator allOf(List<? extends ConfigurationValidator> validators) {
        List<ConfigurationValidator> all = List.copyOf(validators);
        return (candidate, changed) -> {
            List<Problem> problems = new ArrayList<>();
            all.forEach(validator -> problems.addAll(validator.check(candidate, changed)));
            return problems;
        };
    }
}

package coriandersill.quota;

import coriandersill.core.WorkspaceName;

/**
 * What a workspace would use of a capacity.
 *
 * @param workspace the workspace
 * @param amount its demand, 0 or more, in the unit of the capacity
 * @param weight its weight, above 0
 */
public record WorkspaceDemand(WorkspaceName workspace, double amount, double weight) {

    /** Checks the ranges; throws {@link IllegalArgumentException}. */
    public WorkspaceDemand {
        if (!(amount >= 0) || !(weight > 0)) {
            throw new IllegalArgumentException(
                    "workspace demand: expected amount >= 0 and weight > 0, found " + amount + " and " + weight);
        }
    }
}

package coriandersill.quota;

import coriandersill.core.WorkspaceName;

/**
 * The demand of a workspace on a shared capacity.
 *
 * @param workspace the workspace
 * @param amount the demand, at least 0, in the unit of the capacity
 * @param weight the weight of the workspace in the division, greater than 0
 */
public record WorkspaceDemand(WorkspaceName workspace, double amount, double weight) {

    /** Throws {@link IllegalArgumentException} if the amount or the weight is out of range. */
    public WorkspaceDemand {
        if (!(amount >= 0) || !(weight > 0)) {
            throw new IllegalArgumentException(
                    "workspace demand: expected amount >= 0 and weight > 0, found " + amount + " and " + weight);
        }
    }
}

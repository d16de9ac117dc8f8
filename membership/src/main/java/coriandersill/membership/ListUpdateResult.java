package coriandersill.membership;

import java.util.List;

/**
 * The result of applying one reading of the list of instances.
 *
 * @param retentionReason why the reading is implausible, so that the instances missing from it are retained until
 *     enough consecutive, non-empty readings lack them; also set for the reading that then removes them; empty if the
 *     reading is plausible
 * @param changes the resulting changes, ordered by instance
 */
public record ListUpdateResult(String retentionReason, List<MemberChange> changes) {

    /** Copies the changes. */
    public ListUpdateResult {
        changes = List.copyOf(changes);
    }

    /** Returns whether the reading is plausible; a plausible reading is applied in full. */
    public boolean isPlausible() {
        return retentionReason.isEmpty();
    }
}

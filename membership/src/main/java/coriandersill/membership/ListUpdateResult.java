package coriandersill.membership;

import java.util.List;

/**
 * The result of applying one reading of the list of instances.
 *
 * @param retentionReason why instances missing from the list are retained until enough consecutive readings lack them;
 *     not empty in the readings that remove them after that; empty if the list was applied in full
 * @param changes the resulting changes, ordered by instance
 */
public record ListUpdateResult(String retentionReason, List<MemberChange> changes) {

    /** Copies the changes. */
    public ListUpdateResult {
        changes = List.copyOf(changes);
    }

    /** Returns whether the list was applied in full. */
    public boolean isFullyApplied() {
        return retentionReason.isEmpty();
    }
}
